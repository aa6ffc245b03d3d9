"""How long work takes at each server process, learned from answers.  No I/O.

Two figures are kept apart.  The time factor of a process is lasting: its time
for a unit of work relative to the usual of its service.  Its slowness is that
of the moment: what its last answer stated, less certain the older it is.  The
factor is learned with the stated slowness divided out, so a process whose
statement includes its lasting speed, or is wrong by a constant factor, is
not charged twice.

Expected load: 30 to 1,100 processes and 59 to 400 routers; each router sees
an answer of a process every few seconds, so most samples are those of peers.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import math

import attrs

#: Largest time factor, and inverse of the smallest; bounds what one process
#: or one peer can claim.
MAX_FACTOR = 8.0
_MAX_LOG = math.log(MAX_FACTOR)

#: Smallest and largest believed slowness.
MIN_SLOWNESS = 0.25
MAX_SLOWNESS = 8.0

#: Largest difference of a sample's logarithm from the present estimate; a
#: request that waited for something else moves the estimate no further.
MAX_SURPRISE = 0.7

#: Samples that the usual speed is worth; with fewer own and told samples the
#: estimate stays close to it.
PRIOR_SAMPLES = 15.0

#: Standard deviation of the logarithm of one sample.
SAMPLE_SPREAD = 0.5

#: Seconds after which a sample counts half.
SAMPLE_HALF_LIFE_S = 60.0

#: Largest weight that one router's samples get, own or told.
MAX_SAMPLES = 256.0

#: Seconds after which a peer's estimate is dropped.
TOLD_KEPT_S = 120.0

#: Time constant in seconds with which a stated slowness becomes the usual one
#: of its process.
SLOWNESS_DECAY_S = 0.3

#: Age in seconds above which a stated slowness is not passed on.
MAX_TOLD_AGE_S = 1.5

#: Statements that a usual slowness of 1 is worth, and the most that count.
PRIOR_STATEMENTS = 5.0
MAX_STATEMENTS = 100.0


@attrs.define
class ServerView:
    """Present estimate for one process; made for each candidate.

    Parameters
    ----------
    time_factor : float
        Its time for a unit of work relative to the usual of its service.
    slowness : float
        Its expected time now relative to its own usual one.
    samples : float
        Weight of the answers behind the time factor.
    doubt : float
        Ratio of the mean to the median of its time factor, which is larger
        the fewer samples there are.
    """

    time_factor: float = 1.0
    slowness: float = 1.0
    samples: float = 0.0
    doubt: float = 1.0

    @property
    def stretch(self) -> float:
        """Expected time for a unit of work there now, 1 as usual."""
        return self.time_factor * self.slowness * self.doubt


def _doubt(samples: float) -> float:
    """Return the ratio of mean to median of a log-normal estimate."""
    variance = SAMPLE_SPREAD**2 / (samples + PRIOR_SAMPLES)
    return math.exp(variance / 2)


#: View of a process of which nothing is known.
USUAL = ServerView(doubt=_doubt(0.0))


@attrs.frozen
class Told:
    """What one router tells of one process.

    Parameters
    ----------
    upstream : str
        Incarnation of the process.
    time_factor, samples : float
        Estimate of the sender's own samples, and their weight.
    slowness : float or None
        The newest stated slowness that the sender knows, its own or passed
        on; None if it knows none.
    slowness_age_s : float
        Seconds since it was stated.
    """

    upstream: str
    time_factor: float = 1.0
    samples: float = 0.0
    slowness: float | None = None
    slowness_age_s: float = 0.0


@attrs.define
class _Server:
    """Estimates of one process.

    Parameters
    ----------
    own_log, own_weight : float
        Weighted sum of the logarithms of own samples, and their weight.
    own_at_s : float
        Monotonic time to which both have decayed.
    told_log, told_weight : float
        The same of all peers' estimates.
    slowness, slowness_at_s
        Last statement and its monotonic time; None before the first.
    usual_slowness, statements : float
        Average of the statements, and their number as far as they count.
    """

    own_log: float = 0.0
    own_weight: float = 0.0
    own_at_s: float = 0.0
    told_log: float = 0.0
    told_weight: float = 0.0
    slowness: float | None = None
    slowness_at_s: float = float("-inf")
    usual_slowness: float = 1.0
    statements: float = PRIOR_STATEMENTS
    #: Time factor, samples and doubt; None after a change.
    _lasting: tuple[float, float, float] | None = None

    def lasting(self) -> tuple[float, float, float]:
        """Return the time factor, its samples and the doubt in it."""
        if self._lasting is None:
            self._lasting = (
                math.exp(self.log_factor),
                self.samples,
                _doubt(self.samples),
            )
        return self._lasting

    def changed(self) -> None:
        """Reckon the lasting figures anew when they are next asked for."""
        self._lasting = None

    def decay(self, now_s: float) -> None:
        """Let own samples count less with their age."""
        age_s = max(0.0, now_s - self.own_at_s)
        factor = 0.5 ** (age_s / SAMPLE_HALF_LIFE_S)
        self.own_log *= factor
        self.own_weight *= factor
        self.own_at_s = max(now_s, self.own_at_s)
        self.changed()

    @property
    def samples(self) -> float:
        return self.own_weight + max(0.0, self.told_weight)

    @property
    def log_factor(self) -> float:
        total = self.own_log + self.told_log
        return total / (self.samples + PRIOR_SAMPLES)

    def slowness_now(self, now_s: float) -> float:
        if self.slowness is None:
            return 1.0
        age_s = max(0.0, now_s - self.slowness_at_s)
        share = math.exp(-age_s / SLOWNESS_DECAY_S)
        return self.usual_slowness + share * (
            self.slowness - self.usual_slowness
        )

    def state(self, slowness: float, at_s: float) -> bool:
        """Take a statement; return whether it is newer than the last."""
        if at_s <= self.slowness_at_s:
            return False
        self.slowness = min(max(slowness, MIN_SLOWNESS), MAX_SLOWNESS)
        self.slowness_at_s = at_s
        self.statements = min(self.statements + 1, MAX_STATEMENTS)
        self.usual_slowness += (
            self.slowness - self.usual_slowness
        ) / self.statements
        return True


class ServerModels:
    """Models of the server processes by incarnation.

    A router tells peers only the estimate of its own samples, and a peer's
    later estimate replaces its earlier one, so no sample counts twice.  A
    stated slowness is passed on: the newest one counts, by its age.

    Examples
    --------
    >>> models = ServerModels()
    >>> for _ in range(600):
    ...     models.record_answer("e1", took_s=0.2, usual_s=0.1, now_s=0.0)
    >>> round(models.view("e1", 0.0).time_factor, 1)
    1.9
    >>> models.record_stated("e1", 2.5, now_s=10.0)
    >>> models.view("e1", 10.0).slowness, models.view("e2", 10.0).slowness
    (2.5, 1.0)
    """

    def __init__(self):
        self._servers: dict[str, _Server] = {}
        # By sender, the one heard least recently first.
        self._told: dict[str, tuple[float, dict[str, Told]]] = {}

    def record_stated(
        self, incarnation: str, slowness: float, now_s: float
    ) -> None:
        """Record the slowness that an answer of the process states."""
        self._of(incarnation).state(slowness, now_s)

    def record_answer(
        self, incarnation: str, took_s: float, usual_s: float, now_s: float
    ) -> None:
        """Record how long an answer took.

        Parameters
        ----------
        incarnation : str
            The process.
        took_s : float
            Seconds from sending the request to the end of the measured work,
            without the time in which the caller reads.
        usual_s : float
            Seconds that the same work, with its queue, usually takes.
        now_s : float
            Monotonic time.
        """
        if took_s <= 0 or usual_s <= 0:
            return
        server = self._of(incarnation)
        server.decay(now_s)
        slowness = server.slowness_now(now_s)
        sample = math.log(took_s / (usual_s * slowness))
        known = server.log_factor
        sample = min(max(sample, known - MAX_SURPRISE), known + MAX_SURPRISE)
        server.own_log += min(max(sample, -_MAX_LOG), _MAX_LOG)
        server.own_weight += 1.0
        if server.own_weight > MAX_SAMPLES:
            server.own_log *= MAX_SAMPLES / server.own_weight
            server.own_weight = MAX_SAMPLES

    def view(self, incarnation: str, now_s: float) -> ServerView:
        """Return the present estimate for a process."""
        server = self._servers.get(incarnation)
        if server is None:
            return USUAL
        factor, samples, doubt = server.lasting()
        return ServerView(factor, server.slowness_now(now_s), samples, doubt)

    def has_statement(self, incarnation: str) -> bool:
        """Whether the process has stated a slowness, here or to a peer."""
        server = self._servers.get(incarnation)
        return server is not None and server.slowness is not None

    def own(self, now_s: float) -> list[Told]:
        """Return what to tell peers."""
        told = []
        for name, server in self._servers.items():
            server.decay(now_s)
            age_s = max(0.0, now_s - server.slowness_at_s)
            is_fresh = age_s <= MAX_TOLD_AGE_S
            if server.own_weight < 0.5 and not is_fresh:
                continue
            factor = 1.0
            if server.own_weight:
                factor = math.exp(server.own_log / server.own_weight)
            told.append(
                Told(
                    name,
                    factor,
                    server.own_weight,
                    server.slowness if is_fresh else None,
                    age_s if is_fresh else 0.0,
                )
            )
        return told

    def merge(
        self, sender: str, entries: Iterable[Told], now_s: float
    ) -> None:
        """Replace what a peer told before of these processes.

        Parameters
        ----------
        sender : str
            The peer.
        entries : iterable of Told
            Of processes that this router knows.
        now_s : float
            Monotonic time.
        """
        _, by_name = self._told.pop(sender, (0.0, {}))
        for entry in entries:
            server = self._of(entry.upstream)
            if entry.upstream in by_name:
                self._add(server, by_name[entry.upstream], -1)
            by_name[entry.upstream] = entry
            self._add(server, entry, 1)
            if entry.slowness is not None:
                server.state(entry.slowness, now_s - entry.slowness_age_s)
        self._told[sender] = (now_s, by_name)
        while self._told:
            oldest, (at_s, _) = next(iter(self._told.items()))
            if now_s - at_s <= TOLD_KEPT_S:
                break
            self._forget_sender(oldest)

    def retain(self, incarnations: set[str]) -> None:
        """Forget all other processes."""
        for name in set(self._servers) - set(incarnations):
            del self._servers[name]
            for _, by_name in self._told.values():
                by_name.pop(name, None)

    def time_factors(self) -> Mapping[str, float]:
        """Return the time factors by process, for metrics."""
        return {
            name: server.lasting()[0] for name, server in self._servers.items()
        }

    def _of(self, incarnation: str) -> _Server:
        server = self._servers.get(incarnation)
        if server is None:
            server = self._servers[incarnation] = _Server()
        return server

    def _forget_sender(self, sender: str) -> None:
        _, by_name = self._told.pop(sender, (0.0, {}))
        for name, entry in by_name.items():
            server = self._servers.get(name)
            if server is not None:
                self._add(server, entry, -1)

    @staticmethod
    def _add(server: _Server, entry: Told, sign: int) -> None:
        weight = min(entry.samples, MAX_SAMPLES)
        log = math.log(entry.time_factor)
        log = min(max(log, -_MAX_LOG), _MAX_LOG)
        server.changed()
        server.told_weight += sign * weight
        server.told_log += sign * weight * log
