"""Plans which engine loads which weights next.  No I/O."""

from collections.abc import Mapping

import attrs

from toucanrudder.document import model
from toucanrudder.upstreams import loads

#: Seconds for which an order counts as in progress although the engine's
#: report does not show it yet.
ORDER_PENDING_S = 15.0

LOADING = "loading"
LIVE = "live"


@attrs.frozen
class Order:
    """An order to one engine to serve a version of a model's weights.

    It names the desired state, so it is idempotent.

    Parameters
    ----------
    upstream : model.Upstream
        The engine.
    incarnation : str
        Identity of the engine's process, as reported.
    model : str
        Name of the model.
    weights_version : str
        Version that the engine must have.
    """

    upstream: model.Upstream
    incarnation: str
    model: str
    weights_version: str

    @property
    def order_id(self) -> str:
        """Identity of the order; a repeated order has the same."""
        return ".".join(
            (
                self.upstream.name,
                self.incarnation,
                self.model,
                self.weights_version,
            )
        )


def _missing_orders(
    document: model.Document, reports: Mapping[str, loads.LoadReport]
) -> list[Order]:
    desired = {each.name: each.weights_version for each in document.models}
    return [
        Order(upstream, report.incarnation, name, desired[name])
        for upstream in document.upstreams
        if upstream.kind == model.ENGINE
        and (report := reports.get(upstream.name)) is not None
        and report.state == LIVE
        for name in upstream.models
        if report.models.get(name) != desired[name]
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
        Configuration; sets the weights that engines must have.
    reports : mapping of str to LoadReport
        Fresh load reports, by upstream.
    ordered_s : mapping of str to float
        Monotonic time of the last order, by upstream.
    now_s : float
        Monotonic time.

    Returns
    -------
    tuple of Order
        At most one per engine.  Together with the loads in progress they
        do not exceed the policy's limit, and while any engine is live, at
        least one stays live.
    """
    engines = [
        upstream
        for upstream in document.upstreams
        if upstream.kind == model.ENGINE
    ]
    pending = {
        engine.name
        for engine in engines
        if now_s - ordered_s.get(engine.name, float("-inf")) < ORDER_PENDING_S
        and _may_lack_weights(engine, document, reports)
    }
    loading = pending | {
        engine.name
        for engine in engines
        if engine.name in reports and reports[engine.name].state == LOADING
    }
    live = sum(
        engine.name in reports
        and reports[engine.name].state == LIVE
        and engine.name not in loading
        for engine in engines
    )
    free_slots = document.policy.weight_loads_at_once - len(loading)
    # A single live engine has to reload although none is left meanwhile.
    free_slots = min(free_slots, live - 1 if loading else max(1, live - 1))
    candidates: dict[str, Order] = {}
    for order in _missing_orders(document, reports):
        if order.upstream.name not in loading:
            candidates.setdefault(order.upstream.name, order)
    # Least busy first: an engine finishes its requests before it loads.
    ordered = sorted(
        candidates.values(),
        key=lambda order: (
            reports[order.upstream.name].running,
            order.upstream.name,
        ),
    )
    return tuple(ordered[: max(0, free_slots)])


def _may_lack_weights(
    upstream: model.Upstream,
    document: model.Document,
    reports: Mapping[str, loads.LoadReport],
) -> bool:
    """Return whether the engine lacks weights, or has no fresh report."""
    report = reports.get(upstream.name)
    if report is None:
        return True
    desired = {each.name: each.weights_version for each in document.models}
    return any(report.models.get(n) != desired[n] for n in upstream.models)
