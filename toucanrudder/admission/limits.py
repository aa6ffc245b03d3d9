"""Rate limits of organisations, shared by the live routers."""

import attrs
import cachetools

from toucanrudder import errors
from toucanrudder.document import model

STEP = "limit"
MAX_ORGANISATIONS = 10_000


@attrs.define
class _Bucket:
    tokens: float
    at_s: float


class RateLimiter:
    """Token buckets, one per organisation.

    Each router grants its share of the limit, the limit divided by the
    live routers.  No call to the store is made per request, so an outage
    of the store changes nothing.  Routers that see different numbers of
    live routers for a moment grant a little more or less than the limit.

    Examples
    --------
    >>> from toucanrudder.document import model
    >>> acme = model.Organisation("acme", requests_per_s=8, burst_requests=8)
    >>> limiter = RateLimiter()
    >>> for _ in range(2):
    ...     limiter.check(acme, live_routers=4, now_s=0.0)
    >>> limiter.check(acme, live_routers=4, now_s=0.0)
    Traceback (most recent call last):
    ...
    toucanrudder.errors.exceptions.RudderError: limit_exceeded at limit: \
the organisation's request rate is above its limit
    """

    def __init__(self):
        # Bounded, least recently used first: an organisation that comes
        # back after it was dropped finds a full bucket, as it would after
        # a pause long enough to be dropped.
        self._buckets = cachetools.LRUCache(MAX_ORGANISATIONS)

    def check(
        self, organisation: model.Organisation, live_routers: int, now_s: float
    ) -> None:
        """Take one request from the organisation's share.

        Parameters
        ----------
        organisation : model.Organisation
            Whose limit counts.
        live_routers : int
            Routers that share the limit, this one included.
        now_s : float
            Monotonic time.

        Raises
        ------
        RudderError
            ``limit_exceeded``, with the time until the next token.
        """
        share = 1.0 / max(1, live_routers)
        rate = organisation.requests_per_s * share
        # At least one: with more routers than burst no request would ever
        # pass otherwise.
        burst = max(1.0, organisation.burst_requests * share)
        bucket = self._buckets.get(organisation.name)
        if bucket is None:
            bucket = self._buckets[organisation.name] = _Bucket(burst, now_s)
        passed_s = max(0.0, now_s - bucket.at_s)
        bucket.tokens = min(burst, bucket.tokens + passed_s * rate)
        bucket.at_s = now_s
        if bucket.tokens < 1.0:
            raise errors.RudderError(
                errors.Code.LIMIT_EXCEEDED,
                "the organisation's request rate is above its limit",
                step=STEP,
                retry_after_s=_wait_s(1.0 - bucket.tokens, rate),
            )
        bucket.tokens -= 1.0


def _wait_s(missing: float, rate: float) -> float | None:
    if rate <= 0:
        return None
    return round(missing / rate, 3)
