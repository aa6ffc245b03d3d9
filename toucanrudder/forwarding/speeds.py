"""How fast engines read and copy, learned or told.  No I/O.

Load it answers: engines of any make.  Whoever compares a wait with a
prompt that would have to be read elsewhere needs both in one unit; a
figure that holds for one engine sends requests to a queue where another
engine would have been three times slower or faster.
"""

import collections
import statistics

import attrs

from toucanrudder.forwarding import model

#: Prompt tokens that an engine reads in a second, until it has been seen:
#: what large models do on one accelerator of today.
PRIOR_TOKENS_PER_S = 60_000.0

#: Least unread tokens of a prompt that says how fast it was read: with
#: fewer, connection and first step take most of the time.
LEAST_TOKENS = 2_000

#: Prompts remembered, and how many are needed to go by them: half a minute
#: of a router's share, and enough that one odd one does not count.
KEPT = 64
LEAST_SAMPLES = 5

#: Which of them is taken, of ten.  Prompts that waited seem slow, those of
#: which the engine had more than was believed seem fast; most that are not
#: delayed lie near the eighth.
DECILE = 8

#: Time of a copy against what the link alone would take: links are shared,
#: and transfers on one run one after the other.
QUEUE_FACTOR = 1.6

#: Time of a copy between zones against one inside a zone.
ZONE_FACTOR = 2.0

#: Seconds for a token that is copied, where the configuration does not say
#: how large one is or how wide the links are: 164 KB at 1,100 Gbit/s, and
#: 490 Gbit/s to a store.
PRIOR_COPY_S = 1.2e-6
PRIOR_STORE_S = 2.7e-6


class PrefillSpeeds:
    """Reading speeds of the services' engines, from answers.

    Examples
    --------
    >>> speeds = PrefillSpeeds()
    >>> speeds.tokens_per_s("s")
    60000.0
    >>> for _ in range(LEAST_SAMPLES):
    ...     speeds.record_prefill("s", unread_tokens=8_000, took_s=0.4)
    >>> speeds.tokens_per_s("s")
    20000.0
    """

    def __init__(self):
        self._samples: dict[str, collections.deque[float]] = {}
        self._tokens_per_s: dict[str, float] = {}

    def record_prefill(
        self, service: str, unread_tokens: int, took_s: float
    ) -> None:
        """Note how long a prompt took to its first event.

        Parameters
        ----------
        service : str
            Whose engine read it.
        unread_tokens : int
            What the engine probably had to read.
        took_s : float
            From the sending to the first event.
        """
        if unread_tokens < LEAST_TOKENS or took_s <= 0:
            return
        kept = self._samples.setdefault(
            service, collections.deque(maxlen=KEPT)
        )
        kept.append(unread_tokens / took_s)
        if len(kept) >= LEAST_SAMPLES:
            deciles = statistics.quantiles(kept, n=10, method="inclusive")
            self._tokens_per_s[service] = deciles[DECILE - 1]

    def tokens_per_s(self, service: str) -> float:
        """Return the speed of a service's engines."""
        return self._tokens_per_s.get(service, PRIOR_TOKENS_PER_S)


@attrs.frozen
class EngineSpeeds:
    """What one service's engines do in a second.

    Parameters
    ----------
    prefill_tokens_per_s : float
        Prompt tokens that one reads.
    copy_token_s : float
        Seconds for a token from another engine in the same zone.
    store_token_s : float
        The same from a store of cached parts.
    """

    prefill_tokens_per_s: float = PRIOR_TOKENS_PER_S
    copy_token_s: float = PRIOR_COPY_S
    store_token_s: float = PRIOR_STORE_S

    def tokens(self, seconds: float) -> float:
        """Return what an engine reads in that time."""
        return seconds * self.prefill_tokens_per_s

    def copy_cost(self, *, same_zone: bool) -> float:
        """Return the cost of a copied token in tokens that are read.

        Examples
        --------
        >>> round(EngineSpeeds().copy_cost(same_zone=True), 3)
        0.115
        """
        factor = 1.0 if same_zone else ZONE_FACTOR
        return self.tokens(QUEUE_FACTOR * factor * self.copy_token_s)

    def store_cost(self, *, same_zone: bool) -> float:
        """Return the same for a token from a store."""
        factor = 1.0 if same_zone else ZONE_FACTOR
        return self.tokens(QUEUE_FACTOR * factor * self.store_token_s)


def engine_speeds(
    engine: model.Engine | None,
    store: model.CacheStore | None,
    prefill_tokens_per_s: float,
) -> EngineSpeeds:
    """Return the speeds that follow from the configuration.

    Examples
    --------
    >>> wide = model.Engine(64, 90_000, token_bytes=163_840,
    ...     link_bits_per_s=2.2e12)
    >>> round(engine_speeds(wide, None, 44_000.0).copy_token_s * 1e6, 3)
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
