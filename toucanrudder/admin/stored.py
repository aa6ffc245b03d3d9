"""Leases and claims that the status page reads from the store on request."""

from collections.abc import AsyncIterator

from toucanrudder import errors
from toucanrudder import store
from toucanrudder.admin import status
from toucanrudder.claims import decision
from toucanrudder.claims import record
from toucanrudder.leases import holder
from toucanrudder.store import interface

STEP = "status"
PAGE_SIZE = 100
# Bounds the number of store reads for one status request.
MAX_OBJECTS = 2000


async def _list_objects(
    objects: store.ObjectStore, kind: str, timeout_s: float
) -> AsyncIterator[interface.StoredObject]:
    after = ""
    for _ in range(MAX_OBJECTS // PAGE_SIZE):
        try:
            page = await objects.list(
                kind, after=after, limit=PAGE_SIZE, timeout_s=timeout_s
            )
        except interface.StoreUnavailable as error:
            raise errors.RudderError(
                errors.Code.STORE_UNAVAILABLE,
                str(error),
                step=STEP,
                peer="store",
            ) from error
        for stored_object in page:
            yield stored_object
        if len(page) < PAGE_SIZE:
            return
        after = page[-1].name


async def leases(
    objects: store.ObjectStore, timeout_s: float
) -> list[status.LeaseStatus]:
    """Return the stored leases.

    Raises
    ------
    RudderError
        ``store_unavailable``.
    """
    return [
        status.LeaseStatus(
            stored_object.name,
            str(stored_object.value.get("holder", "")),
            int(stored_object.value.get("fencing", 0)),
        )
        async for stored_object in _list_objects(
            objects, holder.KIND, timeout_s
        )
    ]


async def unknown_claims(
    objects: store.ObjectStore,
    limits: decision.Limits,
    timeout_s: float,
    now_unix_s: float,
) -> list[status.ClaimStatus]:
    """Return started claims that have had no result for too long.

    Only the first `MAX_OBJECTS` claims are read.

    Raises
    ------
    RudderError
        ``store_unavailable``.
    """
    claims = []
    async for stored_object in _list_objects(objects, record.KIND, timeout_s):
        try:
            claim = record.Record.from_value(stored_object.value)
        except (ValueError, KeyError, TypeError):
            continue
        age_s = now_unix_s - claim.created_unix_s
        if (
            claim.state is record.State.STARTED
            and age_s >= limits.reported_running_s
        ):
            organisation, _, digest = stored_object.name.rpartition(".")
            claims.append(
                status.ClaimStatus(organisation, digest, claim.router, age_s)
            )
    return claims
