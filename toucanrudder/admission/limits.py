"""Request rate limits of organisations, divided among the live routers."""

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

    Each router grants the limit divided by the number of live routers.  No
    call to the store is made per request, so an outage of the store has no
    effect.  While routers see different numbers of live routers, they grant
    a little more or less than the limit.

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
        # An organisation whose bucket was evicted as the least recently
        # used starts with a full one, as after a long pause.
        self._buckets = cachetools.LRUCache(MAX_ORGANISATIONS)

    def check(
        self, organisation: model.Organisation, live_routers: int, now_s: float
    ) -> None:
        """Take one request from the organisation's bucket.

        Parameters
        ----------
        organisation : model.Organisation
            Organisation that sent the request.
        live_routers : int
            Routers among which the limit is divided, this one included.
        now_s : float
            Monotonic time.

        Raises
        ------
        RudderError
            ``limit_exceeded``, with the time until the next token.
        """
        share = 1.0 / max(1, live_routers)
        rate = organisation.requests_per_s * share
        # With more routers than the burst, no bucket would ever hold a
        # whole request otherwise.
        burst = max(1.0, organisation.burst_requests * share)
        bucket = self._buckets.get(organisation.name)
        if bucket is None:
            bucket = self._buckets[organisation.name] = _Bucket(burst, now_s)
        elapsed_s = max(0.0, now_s - bucket.at_s)
        bucket.tokens = min(burst, bucket.tokens + elapsed_s * rate)
        bucket.at_s = now_s
        if bucket.tokens < 1.0:
            raise errors.RudderError(
                errors.Code.LIMIT_EXCEEDED,
                "the organisation's request rate is above its limit",
                step=STEP,
                retry_after_s=_wait_s(1.0 - bucket.tokens, rate),
            )
        bucket.tokens -= 1.0


def _wait_s(missing_tokens: float, rate: float) -> float | None:
    if rate <= 0:
        return None
    return round(missing_tokens / rate, 3)
