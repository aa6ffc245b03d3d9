"""What the admin API needs from the daemon that serves it."""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence

import attrs

from toucanrudder.admin import status
from toucanrudder.document import model
from toucanrudder.observability import metrics


def _nothing() -> tuple:
    return ()


async def _nothing_async() -> tuple:
    return ()


async def _not_held(fingerprint: str) -> bool:
    return False


@attrs.frozen
class State:
    """Providers that the daemon fills in; each is called per request.

    Parameters
    ----------
    router : str
        Name of this router.
    token : str
        Bearer token of operators; empty refuses every guarded call.
    current : callable
        Returns the `model.Accepted` in force, or None.
    apply : callable
        ``await apply(data, expected_generation, author)`` returns the
        `model.Accepted` that is now in force, or raises `RudderError`.
    routers, upstreams, quarantined : callable
        Return sequences of the classes in :mod:`toucanrudder.admin.status`.
    leases, unknown_claims : callable
        The same, awaitable; they read the store, so they may raise
        `RudderError`.
    release : callable
        ``await release(fingerprint)`` ends a quarantine on every router;
        False when the fingerprint is not held.
    metrics_page : callable
        Returns the Prometheus page.
    """

    router: str
    token: str = attrs.field(repr=False)
    current: Callable[[], model.Accepted | None]
    apply: Callable[[dict, int, str], Awaitable[model.Accepted]]
    routers: Callable[[], Sequence[status.RouterStatus]] = _nothing
    upstreams: Callable[[], Sequence[status.UpstreamStatus]] = _nothing
    quarantined: Callable[[], Sequence[status.QuarantineStatus]] = _nothing
    leases: Callable[[], Awaitable[Sequence[status.LeaseStatus]]] = (
        _nothing_async
    )
    unknown_claims: Callable[[], Awaitable[Sequence[status.ClaimStatus]]] = (
        _nothing_async
    )
    release: Callable[[str], Awaitable[bool]] = _not_held
    metrics_page: Callable[[], bytes] = metrics.page
