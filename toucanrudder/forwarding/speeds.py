"""Prefill and copy speeds of engines, measured or configured.  No I/O.

Engines may be of any make.  Comparing a wait with a prefill elsewhere needs
both in one unit; a constant that fits one engine would send requests to
queues of engines that are three times slower or faster.
"""

import collections
import statistics

import attrs

from toucanrudder.forwarding import model

#: Prompt tokens that an engine prefills per second, until there are samples:
#: typical of large models on one current accelerator.
PRIOR_TOKENS_PER_S = 60_000.0

#: Fewest prefilled tokens of a prompt that counts as a sample: with fewer,
#: connection and first decode step take most of the time.
MIN_SAMPLE_TOKENS = 2_000

#: Most samples kept, about half a minute of a router's share, and fewest for
#: an estimate, enough that one outlier does not count.
MAX_SAMPLES = 64
MIN_SAMPLES = 5

#: Decile of the samples that is the estimate.  Prompts that were queued seem
#: slow and those with more cached tokens than believed seem fast; most
#: undelayed ones lie near the eighth decile.
DECILE = 8

#: Time of a copy relative to the link's bandwidth: links are shared, and
#: transfers on one link are sequential.
QUEUE_FACTOR = 1.6

#: Time of a copy between zones relative to one inside a zone.
ZONE_FACTOR = 2.0

#: Seconds per copied token, if token size or bandwidth is not configured:
#: 164 KB at 1,100 Gbit/s, and at 490 Gbit/s from a store.
PRIOR_COPY_S = 1.2e-6
PRIOR_STORE_S = 2.7e-6


class PrefillSpeeds:
    """Prefill speeds of each service's engines, estimated from answers.

    Examples
    --------
    >>> speeds = PrefillSpeeds()
    >>> speeds.tokens_per_s("s")
    60000.0
    >>> for _ in range(MIN_SAMPLES):
    ...     speeds.record_prefill("s", uncached_tokens=8_000, took_s=0.4)
    >>> speeds.tokens_per_s("s")
    20000.0
    """

    def __init__(self):
        self._samples: dict[str, collections.deque[float]] = {}
        self._tokens_per_s: dict[str, float] = {}

    def record_prefill(
        self, service: str, uncached_tokens: int, took_s: float
    ) -> None:
        """Record the time of a prompt to its first event.

        Parameters
        ----------
        service : str
            The service of the engine.
        uncached_tokens : int
            Estimated tokens that the engine had to prefill.
        took_s : float
            Seconds from sending the request to the first event.
        """
        if uncached_tokens < MIN_SAMPLE_TOKENS or took_s <= 0:
            return
        samples = self._samples.setdefault(
            service, collections.deque(maxlen=MAX_SAMPLES)
        )
        samples.append(uncached_tokens / took_s)
        if len(samples) >= MIN_SAMPLES:
            deciles = statistics.quantiles(samples, n=10, method="inclusive")
            self._tokens_per_s[service] = deciles[DECILE - 1]

    def tokens_per_s(self, service: str) -> float:
        """Return the prefill speed of a service's engines."""
        return self._tokens_per_s.get(service, PRIOR_TOKENS_PER_S)


@attrs.frozen
class EngineSpeeds:
    """Speeds of one service's engines.

    Parameters
    ----------
    prefill_tokens_per_s : float
        Prompt tokens that one engine prefills per second.
    copy_token_s : float
        Seconds per token copied from another engine in the same zone.
    store_token_s : float
        The same from a part store.
    """

    prefill_tokens_per_s: float = PRIOR_TOKENS_PER_S
    copy_token_s: float = PRIOR_COPY_S
    store_token_s: float = PRIOR_STORE_S

    def tokens(self, seconds: float) -> float:
        """Return the tokens that an engine prefills in that time."""
        return seconds * self.prefill_tokens_per_s

    def copy_cost(self, *, same_zone: bool) -> float:
        """Return the cost of a copied token in prefilled tokens.

        Examples
        --------
        >>> round(EngineSpeeds().copy_cost(same_zone=True), 3)
        0.115
        """
        factor = 1.0 if same_zone else ZONE_FACTOR
        return self.tokens(QUEUE_FACTOR * factor * self.copy_token_s)

    def store_cost(self, *, same_zone: bool) -> float:
        """Return the same for a token copied from a store."""
        factor = 1.0 if same_zone else ZONE_FACTOR
        return self.tokens(QUEUE_FACTOR * factor * self.store_token_s)


def engine_speeds(
    engine: model.Engine | None,
    store: model.CacheStore | None,
    prefill_tokens_per_s: float,
) -> EngineSpeeds:
    """Return the speeds for an engine and a store as configured.

    Examples
    --------
    >>> engine = model.Engine(64, 90_000, token_bytes=163_840,
    ...     link_bits_per_s=2.2e12)
    >>> round(engine_speeds(engine, None, 44_000.0).copy_token_s * 1e6, 3)
    0.596
    """
    token_bits = 8 * engine.token_bytes if engine else 0.0

    def token_s(link: model.Engine | model.CacheStore | None, prior_s: float):
        if link is None or not (token_bits and link.link_bits_per_s):
            return prior_s
        return token_bits / link.link_bits_per_s

    return EngineSpeeds(
        prefill_tokens_per_s,
        copy_token_s=token_s(engine, PRIOR_COPY_S),
        store_token_s=token_s(store, PRIOR_STORE_S),
    )
