"""Which engine is to load which weights next.  No I/O."""

from collections.abc import Mapping

import attrs

from toucanrudder.document import model
from toucanrudder.upstreams import loads

#: Time for which an order counts as under way although the engine's
#: report does not show it yet.
ORDER_PENDING_S = 15.0

LOADING = "loading"
LIVE = "live"


@attrs.frozen
class Order:
    """An order to one engine to have certain weights.

    It names a state, so carrying it out twice is the same as once.

    Parameters
    ----------
    upstream : model.Upstream
        The engine.
    incarnation : str
        Its process, as reported.
    model : str
        Model's name.
    weights_version : str
        What it must have.
    """

    upstream: model.Upstream
    incarnation: str
    model: str
    weights_version: str

    @property
    def order_id(self) -> str:
        """Identity; the same for a repetition."""
        return ".".join(
            (
                self.upstream.name,
                self.incarnation,
                self.model,
                self.weights_version,
            )
        )


def _missing(
    document: model.Document, reports: Mapping[str, loads.LoadReport]
) -> list[Order]:
    wanted = {each.name: each.weights_version for each in document.models}
    return [
        Order(upstream, report.incarnation, name, wanted[name])
        for upstream in document.upstreams
        if upstream.kind == model.ENGINE
        and (report := reports.get(upstream.name)) is not None
        and report.state == LIVE
        for name in upstream.models
        if report.models.get(name) != wanted[name]
    ]


def plan(
    document: model.Document,
    reports: Mapping[str, loads.LoadReport],
    ordered_s: Mapping[str, float],
    now_s: float,
) -> tuple[Order, ...]:
    """Return the orders to give now.

    Parameters
    ----------
    document : model.Document
        Says which weights engines must have.
    reports : mapping of str to LoadReport
        Fresh reports, by upstream.
    ordered_s : mapping of str to float
        When an order was last given, by upstream.
    now_s : float
        Monotonic time.

    Returns
    -------
    tuple of Order
        At most one for an engine.  Together with the loads under way
        they are no more than the policy allows, and while any engine is
        live, one stays so.
    """
    engines = [
        each for each in document.upstreams if each.kind == model.ENGINE
    ]
    recent = {
        each.name
        for each in engines
        if now_s - ordered_s.get(each.name, float("-inf")) < ORDER_PENDING_S
        and _is_open(each, document, reports)
    }
    loading = recent | {
        each.name
        for each in engines
        if each.name in reports and reports[each.name].state == LOADING
    }
    live = sum(
        each.name in reports
        and reports[each.name].state == LIVE
        and each.name not in loading
        for each in engines
    )
    room = document.policy.weight_loads_at_once - len(loading)
    # A single engine has to be taken: there is no other way.
    room = min(room, live - 1 if loading else max(1, live - 1))
    candidates: dict[str, Order] = {}
    for order in _missing(document, reports):
        if order.upstream.name not in loading:
            candidates.setdefault(order.upstream.name, order)
    # Least busy first: an engine ends its work before it loads.
    chosen = sorted(
        candidates.values(),
        key=lambda order: (
            reports[order.upstream.name].running,
            order.upstream.name,
        ),
    )
    return tuple(chosen[: max(0, room)])


def _is_open(
    upstream: model.Upstream,
    document: model.Document,
    reports: Mapping[str, loads.LoadReport],
) -> bool:
    """Say whether the engine still lacks weights, or cannot be asked."""
    report = reports.get(upstream.name)
    if report is None:
        return True
    wanted = {each.name: each.weights_version for each in document.models}
    return any(report.models.get(n) != wanted[n] for n in upstream.models)
