"""What the status page reads from the store, when an operator asks."""

from collections.abc import AsyncIterator

from toucanrudder import errors
from toucanrudder import store
from toucanrudder.admin import status
from toucanrudder.claims import decision
from toucanrudder.claims import record
from toucanrudder.leases import holder
from toucanrudder.store import interface

STEP = "status"
PAGE = 100
# Bounds what one look at the page costs the store; the page says when
# there is more.
MAX_OBJECTS = 2000


async def _objects(
    objects: store.ObjectStore, kind: str, timeout_s: float
) -> AsyncIterator[interface.StoredObject]:
    after = ""
    for _ in range(MAX_OBJECTS // PAGE):
        try:
            page = await objects.list(
                kind, after=after, limit=PAGE, timeout_s=timeout_s
            )
        except interface.StoreUnavailable as error:
            raise errors.RudderError(
                errors.Code.STORE_UNAVAILABLE,
                str(error),
                step=STEP,
                peer="store",
            ) from error
        for found in page:
            yield found
        if len(page) < PAGE:
            return
        after = page[-1].name


async def leases(
    objects: store.ObjectStore, timeout_s: float
) -> list[status.LeaseStatus]:
    """Return all leases as the store has them.

    Raises
    ------
    RudderError
        ``store_unavailable``.
    """
    return [
        status.LeaseStatus(
            found.name,
            str(found.value.get("holder", "")),
            int(found.value.get("fencing", 0)),
        )
        async for found in _objects(objects, holder.KIND, timeout_s)
    ]


async def unknown_claims(
    objects: store.ObjectStore,
    limits: decision.Limits,
    timeout_s: float,
    now_unix_s: float,
) -> list[status.ClaimStatus]:
    """Return claims that were started long ago and have no result.

    Looks at the first `MAX_OBJECTS` claims only.

    Raises
    ------
    RudderError
        ``store_unavailable``.
    """
    claims = []
    async for found in _objects(objects, record.KIND, timeout_s):
        try:
            held = record.Record.from_value(found.value)
        except (ValueError, KeyError, TypeError):
            continue
        age_s = now_unix_s - held.created_unix_s
        if (
            held.state is record.State.STARTED
            and age_s >= limits.reported_running_s
        ):
            organisation, _, digest = found.name.rpartition(".")
            claims.append(
                status.ClaimStatus(organisation, digest, held.router, age_s)
            )
    return claims
