"""Which requests are suspected of crashing engines.  No I/O.

A request that crashes each engine that runs it takes down one engine per
resend, through whichever router the resend meets.  So each request in
flight at a crash becomes a suspect in all routers.  A suspect is run
again, but on trial: each engine gets one suspect at a time.  The engine
that crashes next then names its suspect, which is convicted after two
engines; the others of its batch are suspects no longer.
"""

from collections.abc import Iterable
from collections.abc import Sequence
import enum

import attrs

from toucanrudder.quarantine import entry as entries_

EXPIRY_S = 3600.0
MAX_ENTRIES = 4096
SETTLE_S = 0.3
ROUND_S = 2.0
AVOIDED_S = 30.0
EPISODE_S = 60.0
HOLD_S = 10.0
HOLD_STEP_S = 0.1


class Standing(enum.Enum):
    """How a request is to be treated."""

    FREE = "free"
    SUSPECT = "suspect"
    QUARANTINED = "quarantined"


@attrs.frozen
class Trial:
    """Where and when a suspect may run.

    Parameters
    ----------
    upstream : str
        The engine; no other suspect is sent there in this round.
    wait_s : float
        Time to wait before it is sent.
    """

    upstream: str
    wait_s: float


@attrs.frozen
class Detail:
    """What a quarantined request is held for.

    Parameters
    ----------
    crashes : int
        Crashes that count against it.
    expires_in_s : float
        Time until the first of them is forgotten.
    """

    crashes: int
    expires_in_s: float


@attrs.frozen
class _View:
    """What follows from the entries, until `until_s`."""

    convicted: frozenset[str]
    suspects: tuple[str, ...]
    ranked: tuple[str, ...]
    crashes: frozenset[tuple[str, str]]
    first_crash_s: float
    last_crash_s: float
    until_s: float


class SuspectTracker:
    """Entries of this router and, by merging, of all others.

    Everything is worked out from the set of entries, so routers that hold
    the same entries agree, in whatever order and however often the entries
    came.  Times are wall clock, since entries travel.

    Parameters
    ----------
    expiry_s : float
        Age at which an entry is forgotten, a quarantine with it.
    max_entries : int
        Entries that are kept; the oldest go first.
    settle_s : float
        Time for which a crash's entries spread before trials begin.
    round_s : float
        Length of a round when there are more suspects than engines.

    Examples
    --------
    >>> tracker = SuspectTracker()
    >>> poison, other = entries_.InFlight("p"), entries_.InFlight("o")
    >>> tracker.record_crash("e1", "i1", [poison, other], now_s=0.0)
    >>> tracker.standing("o", now_s=1.0)
    <Standing.SUSPECT: 'suspect'>
    >>> trial = entries_.InFlight("p", isolated=True)
    >>> tracker.record_crash("e2", "i2", [trial], now_s=2.0)
    >>> [tracker.standing(name, now_s=3.0) for name in "po"]
    [<Standing.QUARANTINED: 'quarantined'>, <Standing.FREE: 'free'>]
    """

    def __init__(
        self,
        expiry_s: float = EXPIRY_S,
        max_entries: int = MAX_ENTRIES,
        settle_s: float = SETTLE_S,
        round_s: float = ROUND_S,
    ):
        self._expiry_s = expiry_s
        self._max_entries = max_entries
        self._settle_s = settle_s
        self._round_s = round_s
        self._entries: dict[tuple, entries_.Entry] = {}
        self._view: _View | None = None

    def standing(self, fingerprint: str, now_s: float) -> Standing:
        """Return how the request is to be treated.

        Parameters
        ----------
        fingerprint : str
            Identity of the request.
        now_s : float
            Wall clock.

        Returns
        -------
        Standing
            Its standing.
        """
        view = self._current(now_s)
        if fingerprint in view.convicted:
            return Standing.QUARANTINED
        if fingerprint in view.suspects:
            return Standing.SUSPECT
        return Standing.FREE

    def plan_trial(
        self, fingerprint: str, upstreams: Sequence[str], now_s: float
    ) -> Trial | None:
        """Return where and when a suspect may run.

        The routers rank the suspects alike, so they send no two to one
        engine in one round, and copies of one suspect to one engine.

        Parameters
        ----------
        fingerprint : str
            Identity of the suspect.
        upstreams : sequence of str
            Live engines that can run it.
        now_s : float
            Wall clock.

        Returns
        -------
        Trial or None
            None when there is no engine, or it isn't a suspect.
        """
        view = self._current(now_s)
        if not upstreams or fingerprint not in view.suspects:
            return None
        # Routers learn at different times that an engine is gone, but they
        # hold the same entries.  Ranked over what each sees as live, two
        # suspects would meet on one engine, and neither could be convicted
        # of its crash.
        ordered = sorted(set(upstreams) - self._crashed_since(now_s))
        ordered = ordered or sorted(upstreams)
        rank = view.ranked.index(fingerprint)
        rounds = -(-len(view.ranked) // len(ordered))
        turn = rank // len(ordered)
        before = view.ranked[rank % len(ordered) : rank : len(ordered)]
        if view.suspects and set(before) & set(view.suspects):
            # One before it on this engine has not been cleared and may be
            # running still, longer than a round.
            if now_s - view.last_crash_s < HOLD_S:
                return Trial(ordered[rank % len(ordered)], HOLD_STEP_S)
        elif turn:
            rounds = 1
        # Entries of other routers must have come before ranks agree.
        start_s = view.last_crash_s + self._settle_s
        wait_s = max(0.0, start_s - now_s)
        if rounds > 1:
            wait_s += self._until_round(
                turn, rounds, now_s + wait_s - view.first_crash_s
            )
        return Trial(ordered[rank % len(ordered)], wait_s)

    def _crashed_since(self, now_s: float) -> set[str]:
        return {
            entry.upstream
            for entry in self._entries.values()
            if entry.kind is entries_.Kind.CRASH
            and now_s - entry.at_s < AVOIDED_S
        }

    def _until_round(self, turn: int, rounds: int, passed_s: float) -> float:
        cycle_s = rounds * self._round_s
        offset_s = (passed_s - turn * self._round_s) % cycle_s
        # A trial that starts late in its round would run into the next.
        if offset_s < self._round_s / 2:
            return 0.0
        return cycle_s - offset_s

    def record_crash(
        self,
        upstream: str,
        incarnation: str,
        in_flight: Iterable[entries_.InFlight],
        now_s: float,
    ) -> None:
        """Note a crash and the requests that were in flight there.

        Parameters
        ----------
        upstream, incarnation : str
            The engine process that crashed.
        in_flight : iterable of InFlight
            This router's requests there; other routers add theirs.
        now_s : float
            Wall clock.
        """
        if not incarnation:
            # Nobody knows which process that was.  Noted as one of its
            # own, a second try at the same dead engine would convict.
            return
        noted = [
            entries_.Entry(
                entries_.Kind.CRASH,
                request.fingerprint,
                now_s,
                upstream,
                incarnation,
                request.isolated,
            )
            for request in in_flight
        ]
        self.merge(noted, now_s)

    def is_presumed_dead(
        self, upstream: str, incarnation: str, now_s: float
    ) -> bool:
        """Whether entries say that the engine process crashed."""
        return (upstream, incarnation) in self._current(now_s).crashes

    def record_alive(
        self, upstream: str, incarnation: str, now_s: float
    ) -> None:
        """Note that a process presumed dead has answered since.

        A network that cuts connections looks like a crash from where the
        router stands.  Without this, requests that were merely cut twice
        would stay in quarantine.
        """
        entry = entries_.Entry(
            entries_.Kind.ALIVE, "", now_s, upstream, incarnation
        )
        self.merge([entry], now_s)

    def record_completion(self, fingerprint: str, now_s: float) -> None:
        """Note that a suspect ran to its end without a crash."""
        if self.standing(fingerprint, now_s) is Standing.SUSPECT:
            self._add(entries_.Kind.CLEARED, fingerprint, now_s)

    def release(self, fingerprint: str, now_s: float) -> None:
        """Let a request go, by an operator's word."""
        self._add(entries_.Kind.RELEASED, fingerprint, now_s)

    def _add(
        self, kind: entries_.Kind, fingerprint: str, now_s: float
    ) -> None:
        self.merge([entries_.Entry(kind, fingerprint, now_s)], now_s)

    def merge(self, entries: Iterable[entries_.Entry], now_s: float) -> bool:
        """Take in entries of another router.

        Parameters
        ----------
        entries : iterable of Entry
            Entries, in any order, also ones that are known.
        now_s : float
            Wall clock.

        Returns
        -------
        bool
            Whether anything was new.
        """
        new = False
        for entry in entries:
            if abs(now_s - entry.at_s) >= self._expiry_s:
                continue
            known = self._entries.get(entry.key)
            joined = entry if known is None else _join(known, entry)
            if joined != known:
                self._entries[entry.key] = joined
                new = True
        if new:
            self._view = None
            self._shed()
        return new

    def entries(self, now_s: float) -> tuple[entries_.Entry, ...]:
        """Return all live entries, to be sent to other routers."""
        self._forget(now_s)
        return tuple(self._entries.values())

    def quarantined(self, now_s: float) -> tuple[str, ...]:
        """Return the fingerprints of quarantined requests."""
        return tuple(sorted(self._current(now_s).convicted))

    def detail(self, fingerprint: str, now_s: float) -> "Detail":
        """Return what a quarantined request is held for.

        Parameters
        ----------
        fingerprint : str
            Identity of the request.
        now_s : float
            Wall clock.

        Returns
        -------
        Detail
            Its crashes, and the time until the first is forgotten.
        """
        crashes = self._current(now_s).crashes
        held = [
            entry
            for entry in self._entries.values()
            if entry.fingerprint == fingerprint and entry.crash in crashes
        ]
        oldest_s = min((entry.at_s for entry in held), default=now_s)
        return Detail(len(held), max(0.0, oldest_s + self._expiry_s - now_s))

    def _shed(self) -> None:
        surplus = len(self._entries) - self._max_entries
        if surplus <= 0:
            return
        oldest = sorted(
            self._entries.values(),
            key=lambda e: (e.at_s, e.fingerprint, e.crash, e.kind.value),
        )
        for entry in oldest[:surplus]:
            del self._entries[entry.key]

    def _forget(self, now_s: float) -> None:
        old = [
            key
            for key, entry in self._entries.items()
            if now_s - entry.at_s >= self._expiry_s
        ]
        for key in old:
            del self._entries[key]
        if old:
            self._view = None

    def _current(self, now_s: float) -> _View:
        if self._view is None or now_s >= self._view.until_s:
            self._view = None
            self._forget(now_s)
            self._view = _conclude(
                tuple(self._entries.values()), now_s, self._expiry_s
            )
        return self._view


def _join(a: entries_.Entry, b: entries_.Entry) -> entries_.Entry:
    """Merge two entries of one key; commutative and idempotent."""
    if a.kind is entries_.Kind.CRASH:
        at_s = min(a.at_s, b.at_s)
    else:
        at_s = max(a.at_s, b.at_s)
    return attrs.evolve(a, at_s=at_s, isolated=a.isolated or b.isolated)


def _conclude(
    entries: tuple[entries_.Entry, ...], now_s: float, expiry_s: float
) -> _View:
    released = _latest(entries, entries_.Kind.RELEASED)
    cleared = _latest(entries, entries_.Kind.CLEARED)
    # No process that crashed comes back under the same incarnation.
    alive = {e.crash for e in entries if e.kind is entries_.Kind.ALIVE}
    crashes = [
        entry
        for entry in entries
        if entry.kind is entries_.Kind.CRASH
        and entry.crash not in alive
        and entry.at_s > released.get(entry.fingerprint, float("-inf"))
    ]
    convicted = _convicted(crashes)
    explained = {e.crash for e in crashes if e.fingerprint in convicted}
    suspected = [
        entry
        for entry in crashes
        if entry.crash not in explained
        and entry.at_s > cleared.get(entry.fingerprint, float("-inf"))
    ]
    times = [entry.at_s for entry in suspected]
    suspects = _in_order(suspected)
    # Those cleared keep their rank for a while: without them all after
    # them would move, onto engines where others are on trial.
    since_s = max(times, default=now_s) - EPISODE_S
    ranked = _in_order(
        [
            entry
            for entry in crashes
            if entry.crash not in explained
            and (entry.at_s > since_s or entry.fingerprint in suspects)
        ]
    )
    oldest_s = min((e.at_s for e in entries), default=float("inf"))
    return _View(
        convicted=frozenset(convicted),
        suspects=suspects,
        ranked=ranked,
        crashes=frozenset(entry.crash for entry in crashes),
        first_crash_s=min(times, default=now_s),
        last_crash_s=max(times, default=now_s),
        until_s=oldest_s + expiry_s,
    )


def _in_order(suspected: Sequence[entries_.Entry]) -> tuple[str, ...]:
    # By time, so that a crash that one router notices late gives its
    # requests the last ranks and does not move those on trial already.
    first_s: dict[str, float] = {}
    for entry in suspected:
        known_s = first_s.get(entry.fingerprint, entry.at_s)
        first_s[entry.fingerprint] = min(known_s, entry.at_s)
    return tuple(sorted(first_s, key=lambda each: (first_s[each], each)))


def _latest(
    entries: Iterable[entries_.Entry], kind: entries_.Kind
) -> dict[str, float]:
    latest: dict[str, float] = {}
    for entry in entries:
        if entry.kind is kind:
            before_s = latest.get(entry.fingerprint, float("-inf"))
            latest[entry.fingerprint] = max(before_s, entry.at_s)
    return latest


def _convicted(crashes: Sequence[entries_.Entry]) -> set[str]:
    """Return the requests that two crashes point to.

    One crash proves nothing: it may be the hardware, or any other request
    of the batch.  The second counts only for a request that was the one
    suspect there; two suspects at one crash would both be blamed.
    """
    on_trial: dict[tuple[str, str], set[str]] = {}
    seen: dict[str, set[tuple[str, str]]] = {}
    for entry in crashes:
        seen.setdefault(entry.fingerprint, set()).add(entry.crash)
        if entry.isolated:
            on_trial.setdefault(entry.crash, set()).add(entry.fingerprint)
    return {
        fingerprint
        for suspects in on_trial.values()
        if len(suspects) == 1
        for fingerprint in suspects
        if len(seen[fingerprint]) >= 2
    }
