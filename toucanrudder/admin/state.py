"""Callables through which the admin API reads and changes the daemon."""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence

import attrs

from toucanrudder.admin import status
from toucanrudder.document import model
from toucanrudder.observability import metrics


def _empty() -> tuple:
    return ()


async def _empty_from_store() -> tuple:
    return ()


async def _not_quarantined(fingerprint: str) -> bool:
    return False


@attrs.frozen
class State:
    """Identity and callables supplied by the daemon.

    The callables are called on each request.

    Parameters
    ----------
    router : str
        Name of this router.
    token : str
        Bearer token of operators; if empty, every non-public call is rejected.
    current : callable
        Returns the `model.Accepted` in force, or None.
    apply : callable
        ``await apply(data, expected_generation, author)`` returns the
        `model.Accepted` that is now in force, or raises `RudderError`.
    routers, upstreams, quarantined : callable
        Return sequences of the classes in :mod:`toucanrudder.admin.status`.
    leases, unknown_claims : callable
        The same, but awaitable; they read the store and may raise
        `RudderError`.
    release : callable
        ``await release(fingerprint)`` ends a quarantine on every router and
        returns False if the fingerprint is not quarantined.
    metrics_page : callable
        Returns the metrics in the Prometheus text format.
    """

    router: str
    token: str = attrs.field(repr=False)
    current: Callable[[], model.Accepted | None]
    apply: Callable[[dict, int, str], Awaitable[model.Accepted]]
    routers: Callable[[], Sequence[status.RouterStatus]] = _empty
    upstreams: Callable[[], Sequence[status.UpstreamStatus]] = _empty
    quarantined: Callable[[], Sequence[status.QuarantineStatus]] = _empty
    leases: Callable[[], Awaitable[Sequence[status.LeaseStatus]]] = (
        _empty_from_store
    )
    unknown_claims: Callable[[], Awaitable[Sequence[status.ClaimStatus]]] = (
        _empty_from_store
    )
    release: Callable[[str], Awaitable[bool]] = _not_quarantined
    metrics_page: Callable[[], bytes] = metrics.page
