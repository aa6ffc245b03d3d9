"""Detection of requests that crash engines.  No I/O.

A request that crashes each engine that runs it takes down one engine per
resend, through whichever router the resend arrives.  Each request in flight
at a crash therefore becomes a suspect in all routers.  A suspect is run
again in a trial: each engine gets one suspect at a time, so that the next
crash identifies the request that caused it.  A request that has crashed two
engines is quarantined; the others in flight with it are no longer suspects.
Parts of prompts that crash engines in ever new requests are tracked beside.
"""

from collections.abc import Iterable
from collections.abc import Sequence
import enum

import attrs

from toucanrudder.quarantine import entry as entry_types
from toucanrudder.quarantine import log as entry_logs
from toucanrudder.quarantine import parts as part_trackers

#: Age at which an entry expires.
EXPIRY_S = 3600.0
MAX_ENTRIES = 4096
#: Entries of parts that are sent to a peer at once.
MAX_SENT_PARTS = 128
#: Time for which the entries of a crash spread before trials begin.
SETTLE_S = 0.3
#: Length of a round of trials.
ROUND_S = 2.0
#: Time after a crash for which its engine gets no trial.
AVOIDED_S = 30.0
#: Time for which a cleared suspect keeps its rank.
CLEARED_RANK_S = 60.0
#: Time after the last crash for which a trial waits for the one before it
#: on the same engine, and the interval at which it checks.
UNCLEARED_WAIT_S = 10.0
UNCLEARED_STEP_S = 0.1


class Standing(enum.Enum):
    """The standing of a request."""

    FREE = "free"
    SUSPECT = "suspect"
    QUARANTINED = "quarantined"


@attrs.frozen
class Trial:
    """The engine and the delay of a suspect's next run.

    Parameters
    ----------
    upstream : str
        The engine; no other suspect is sent there in this round.
    wait_s : float
        Seconds to wait before it is sent.
    """

    upstream: str
    wait_s: float


@attrs.frozen
class Detail:
    """The reason for which a request is quarantined.

    Parameters
    ----------
    crashes : int
        Crashes attributed to it.
    expires_in_s : float
        Seconds until the first of them expires.
    """

    crashes: int
    expires_in_s: float


@attrs.frozen
class _Conclusions:
    """Conclusions from the entries, valid until `until_s`."""

    quarantined: frozenset[str]
    suspects: tuple[str, ...]
    ranked: tuple[str, ...]
    crashes: frozenset[tuple[str, str]]
    first_crash_s: float
    last_crash_s: float
    until_s: float


class SuspectTracker:
    """Suspects, derived from the merged entries of all routers.

    All conclusions are functions of the set of entries, so that routers with
    the same entries agree, however often and in whatever order they arrived.
    Times are Unix times, since entries are exchanged between routers.

    Parameters
    ----------
    expiry_s : float
        Age in seconds at which an entry expires, and a quarantine with it.
    max_entries : int
        Entries that are kept; the oldest are evicted first.
    settle_s : float
        Seconds for which a crash's entries spread before trials begin.
    round_s : float
        Seconds of a round when there are more suspects than engines.

    Attributes
    ----------
    parts : parts.PartTracker
        Parts of prompts.

    Examples
    --------
    >>> tracker = SuspectTracker()
    >>> poison, other = entry_types.InFlight("p"), entry_types.InFlight("o")
    >>> tracker.record_crash("e1", "i1", [poison, other], now_s=0.0)
    >>> tracker.standing("o", now_s=1.0)
    <Standing.SUSPECT: 'suspect'>
    >>> trial = entry_types.InFlight("p", isolated=True)
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
        self._entries: dict[tuple, entry_types.Entry] = {}
        self._by_fingerprint: dict[str, set[tuple]] = {}
        self._conclusions: _Conclusions | None = None
        self._requests_at: dict[tuple[str, str], set[str]] = {}
        self._alive: dict[tuple[str, str], set[tuple]] = {}
        # No entry expires earlier.
        self._next_expiry_s = float("inf")
        self._log = entry_logs.EntryLog()
        self.parts = part_trackers.PartTracker(
            lambda process: self._requests_at.get(process, ()), log=self._log
        )

    @property
    def is_empty(self) -> bool:
        """Whether nothing was recorded."""
        return not self._entries and self.parts.is_empty

    def crash_count(self, fingerprint: str, now_s: float) -> int:
        """Return the crashes of a request that no part explains."""
        self._expire(now_s)
        crashes = self._crashes_of(fingerprint)
        return len(crashes - self.parts.explained(now_s)) if crashes else 0

    def has_crashes(self, fingerprint: str, count: int, now_s: float) -> bool:
        """Whether a request has at least as many crashes."""
        self._expire(now_s)
        # Most requests have too few, whatever parts explain of them.
        return (
            len(self._crashes_of(fingerprint)) >= count
            and self.crash_count(fingerprint, now_s) >= count
        )

    def _crashes_of(self, fingerprint: str) -> set[tuple[str, str]]:
        """Return the crashes of a request, also those that parts explain."""
        keys = self._by_fingerprint.get(fingerprint, ())
        known = [self._entries[key] for key in keys]
        released_s = _latest(known, entry_types.Kind.RELEASED).get(
            fingerprint, float("-inf")
        )
        return {
            entry.crash
            for entry in known
            if entry.kind is entry_types.Kind.CRASH
            and entry.crash not in self._alive
            and entry.at_s > released_s
        }

    def standing(self, fingerprint: str, now_s: float) -> Standing:
        """Return whether the request is free, a suspect or quarantined.

        Parameters
        ----------
        fingerprint : str
            Identity of the request.
        now_s : float
            Unix time.

        Returns
        -------
        Standing
            The standing of the request.
        """
        self._expire(now_s)
        if not self._crashes_of(fingerprint):
            return Standing.FREE
        conclusions = self._current(now_s)
        if fingerprint in conclusions.quarantined:
            return Standing.QUARANTINED
        if fingerprint in conclusions.suspects:
            return Standing.SUSPECT
        return Standing.FREE

    def plan_trial(
        self, fingerprint: str, upstreams: Sequence[str], now_s: float
    ) -> Trial | None:
        """Return on which engine and when a suspect may run.

        All routers rank the suspects alike.  They thus send no two suspects
        to one engine in one round, and copies of a suspect to one engine.

        Parameters
        ----------
        fingerprint : str
            Identity of the suspect.
        upstreams : sequence of str
            Live engines that can run it.
        now_s : float
            Unix time.

        Returns
        -------
        Trial or None
            None if there is no engine or the request is no suspect.
        """
        conclusions = self._current(now_s)
        if not upstreams or fingerprint not in conclusions.suspects:
            return None
        # Routers learn at different times that an engine is gone, but hold
        # the same entries.  If each ranked over the engines that it sees as
        # live, two suspects could run on one engine, and its crash could be
        # attributed to neither.
        ordered = sorted(set(upstreams) - self._crashed_since(now_s))
        ordered = ordered or sorted(upstreams)
        rank = conclusions.ranked.index(fingerprint)
        rounds = -(-len(conclusions.ranked) // len(ordered))
        round_index = rank // len(ordered)
        earlier = conclusions.ranked[rank % len(ordered) : rank : len(ordered)]
        if conclusions.suspects and set(earlier) & set(conclusions.suspects):
            # An earlier suspect on this engine has not been cleared and may
            # run for longer than a round.
            if now_s - conclusions.last_crash_s < UNCLEARED_WAIT_S:
                return Trial(ordered[rank % len(ordered)], UNCLEARED_STEP_S)
        elif round_index:
            rounds = 1
        # Ranks agree only after the entries of other routers have arrived.
        start_s = conclusions.last_crash_s + self._settle_s
        wait_s = max(0.0, start_s - now_s)
        if rounds > 1:
            wait_s += self._until_round(
                round_index, rounds, now_s + wait_s - conclusions.first_crash_s
            )
        return Trial(ordered[rank % len(ordered)], wait_s)

    def _crashed_since(self, now_s: float) -> set[str]:
        return {
            entry.upstream
            for entry in self._entries.values()
            if entry.kind is entry_types.Kind.CRASH
            and now_s - entry.at_s < AVOIDED_S
        }

    def _until_round(
        self, round_index: int, rounds: int, elapsed_s: float
    ) -> float:
        cycle_s = rounds * self._round_s
        offset_s = (elapsed_s - round_index * self._round_s) % cycle_s
        # A trial that starts late in its round would overlap the next.
        if offset_s < self._round_s / 2:
            return 0.0
        return cycle_s - offset_s

    def record_crash(
        self,
        upstream: str,
        incarnation: str,
        in_flight: Iterable[entry_types.InFlight],
        now_s: float,
    ) -> None:
        """Record a crash and the requests that were in flight there.

        Parameters
        ----------
        upstream, incarnation : str
            The engine process that crashed.
        in_flight : iterable of InFlight
            This router's requests there; other routers record theirs.
        now_s : float
            Unix time.
        """
        if not incarnation:
            # The process is unknown.  Counted as a separate crash, a second
            # try at the same dead engine would quarantine the request.
            return
        in_flight = tuple(in_flight)
        crash_entries = [
            entry_types.Entry(
                entry_types.Kind.CRASH,
                request.fingerprint,
                now_s,
                upstream,
                incarnation,
                request.isolated,
            )
            for request in in_flight
        ]
        self.merge(crash_entries, now_s)
        sent_parts = [
            sent for request in in_flight for sent in request.sent_parts
        ]
        process = (upstream, incarnation)
        if self.parts.record_crash(process, sent_parts, now_s):
            self._conclusions = None

    def is_presumed_dead(
        self, upstream: str, incarnation: str, now_s: float
    ) -> bool:
        """Whether the engine process is presumed to have crashed."""
        self._expire(now_s)
        process = (upstream, incarnation)
        return process in self._requests_at and process not in self._alive

    def record_alive(
        self, upstream: str, incarnation: str, now_s: float
    ) -> None:
        """Record that a process presumed dead has answered.

        To a router, lost connections look like a crash.  Without this
        entry, a request whose connection was lost twice would stay in
        quarantine.
        """
        entry = entry_types.Entry(
            entry_types.Kind.ALIVE, "", now_s, upstream, incarnation
        )
        self.merge([entry], now_s)

    def record_completion(self, fingerprint: str, now_s: float) -> None:
        """Record that a suspect ran to its end without a crash."""
        if self.standing(fingerprint, now_s) is Standing.SUSPECT:
            self._add(entry_types.Kind.CLEARED, fingerprint, now_s)

    def record_answered(self, parts: Iterable[str], now_s: float) -> bool:
        """Record a complete answer to a prompt with some parts.

        Returns
        -------
        bool
            Whether it clears any of them.
        """
        if not self.parts.record_completion(parts, now_s):
            return False
        self._conclusions = None
        return True

    def release(self, fingerprint: str, now_s: float) -> None:
        """Release a request, or a part, on an operator's order."""
        if fingerprint in self.parts.all_blocked(now_s):
            self.parts.release(fingerprint, now_s)
            self._conclusions = None
            return
        self._add(entry_types.Kind.RELEASED, fingerprint, now_s)

    def _add(
        self, kind: entry_types.Kind, fingerprint: str, now_s: float
    ) -> None:
        self.merge([entry_types.Entry(kind, fingerprint, now_s)], now_s)

    def merge(
        self,
        entries: Iterable[entry_types.Entry],
        now_s: float,
        source: int | None = None,
    ) -> bool:
        """Merge entries of another router.

        Parameters
        ----------
        entries : iterable of Entry
            Entries, in any order; known ones may be among them.
        now_s : float
            Unix time.
        source : int or None
            Digest key of the peer that sent them; None for this router's.

        Returns
        -------
        bool
            Whether any entry was new.
        """
        has_new, of_parts = False, []
        for entry in entries:
            if entry.sequence:
                of_parts.append(entry)
            elif abs(now_s - entry.at_s) < self._expiry_s:
                has_new |= self._merge_entry(entry, source)
        if of_parts:
            has_new |= self.parts.merge(of_parts, now_s, source)
        if has_new:
            self._conclusions = None
            self._evict_oldest()
        return has_new

    def _merge_entry(
        self, entry: entry_types.Entry, source: int | None
    ) -> bool:
        known = self._entries.get(entry.key)
        merged = entry
        if known is not None and known != entry:
            merged = _merge(known, entry)
        if merged == known:
            self._log.add_holder(entry, source)
            return False
        self._insert(merged)
        holder = source if merged == entry else None
        self._log.record(merged, holder, is_own=source is None)
        return True

    def _insert(self, entry: entry_types.Entry) -> None:
        key = entry.key
        self._entries[key] = entry
        self._by_fingerprint.setdefault(entry.fingerprint, set()).add(key)
        self._next_expiry_s = min(
            self._next_expiry_s, entry.at_s + self._expiry_s
        )
        if entry.kind is entry_types.Kind.ALIVE:
            self._alive.setdefault(entry.crash, set()).add(key)
            self.parts.record_alive(entry.crash)
        if entry.kind is entry_types.Kind.CRASH:
            present = self._requests_at.setdefault(entry.crash, set())
            present.add(entry.fingerprint)

    def _remove(self, key: tuple) -> None:
        entry = self._entries.pop(key)
        self._log.discard(entry)
        _discard(self._by_fingerprint, entry.fingerprint, key)
        if entry.kind is entry_types.Kind.ALIVE:
            _discard(self._alive, entry.crash, key)
            if entry.crash not in self._alive:
                self.parts.forget_alive(entry.crash)
        if entry.kind is entry_types.Kind.CRASH:
            _discard(self._requests_at, entry.crash, entry.fingerprint)

    def log(self, now_s: float) -> entry_logs.EntryLog:
        """Return the log of the entries that have not expired."""
        self._expire(now_s)
        # Blocks begin at their time also where no requests arrive.
        self.parts.explained(now_s)
        return self._log

    def entries(
        self, now_s: float, since_s: float = float("-inf")
    ) -> tuple[entry_types.Entry, ...]:
        """Return the entries to send to others.

        Parameters
        ----------
        now_s : float
            Unix time.
        since_s : float
            Unix time before which only entries of blocked parts are wanted.
        """
        self._expire(now_s)
        of_parts = self.parts.entries(now_s, since_s, MAX_SENT_PARTS)
        of_requests = [
            entry for entry in self._entries.values() if entry.at_s >= since_s
        ]
        return (*of_parts, *of_requests)

    def quarantined(self, now_s: float) -> tuple[str, ...]:
        """Return the fingerprints of quarantined requests and parts."""
        blocked = self.parts.all_blocked(now_s)
        return tuple(sorted({*self._current(now_s).quarantined, *blocked}))

    def detail(self, fingerprint: str, now_s: float) -> "Detail":
        """Return the reason for which a request is quarantined.

        Parameters
        ----------
        fingerprint : str
            Identity of the request.
        now_s : float
            Unix time.

        Returns
        -------
        Detail
            Its crashes, and the time until the first expires.
        """
        if fingerprint in self.parts.all_blocked(now_s):
            ends_s = self.parts.block_ends_s(fingerprint, now_s)
            return Detail(self.parts.crashes(fingerprint), ends_s - now_s)
        crashes = self._current(now_s).crashes
        own_entries = [
            entry
            for entry in self._entries.values()
            if entry.fingerprint == fingerprint and entry.crash in crashes
        ]
        oldest_s = min((entry.at_s for entry in own_entries), default=now_s)
        return Detail(
            len(own_entries), max(0.0, oldest_s + self._expiry_s - now_s)
        )

    def _evict_oldest(self) -> None:
        surplus = len(self._entries) - self._max_entries
        if surplus <= 0:
            return
        oldest = sorted(
            self._entries.values(),
            key=lambda e: (e.at_s, e.fingerprint, e.crash, e.kind.value),
        )
        for entry in oldest[:surplus]:
            self._remove(entry.key)

    def _expire(self, now_s: float) -> None:
        if now_s < self._next_expiry_s:
            return
        expired = [
            key
            for key, entry in self._entries.items()
            if now_s - entry.at_s >= self._expiry_s
        ]
        for key in expired:
            self._remove(key)
        if expired:
            self._conclusions = None
        times = (entry.at_s for entry in self._entries.values())
        self._next_expiry_s = min(times, default=float("inf"))
        self._next_expiry_s += self._expiry_s

    def _current(self, now_s: float) -> _Conclusions:
        if self._conclusions is None or now_s >= self._conclusions.until_s:
            self._conclusions = None
            self._expire(now_s)
            self._conclusions = _conclude(
                tuple(self._entries.values()),
                now_s,
                self._expiry_s,
                self.parts.explained(now_s),
            )
        return self._conclusions


def _discard(index: dict[object, set], name: object, member: object) -> None:
    """Remove a member from a group, and the group with its last one."""
    index[name].discard(member)
    if not index[name]:
        del index[name]


def _merge(a: entry_types.Entry, b: entry_types.Entry) -> entry_types.Entry:
    """Merge two entries with the same key; commutative and idempotent."""
    if a.kind is entry_types.Kind.CRASH:
        at_s = min(a.at_s, b.at_s)
    else:
        at_s = max(a.at_s, b.at_s)
    return attrs.evolve(a, at_s=at_s, isolated=a.isolated or b.isolated)


def _conclude(
    entries: tuple[entry_types.Entry, ...],
    now_s: float,
    expiry_s: float,
    explained_by_parts: set[tuple[str, str]],
) -> _Conclusions:
    released = _latest(entries, entry_types.Kind.RELEASED)
    cleared = _latest(entries, entry_types.Kind.CLEARED)
    # A process that crashed never restarts under the same incarnation.
    alive = {e.crash for e in entries if e.kind is entry_types.Kind.ALIVE}
    known_crashes = {
        entry.crash
        for entry in entries
        if entry.kind is entry_types.Kind.CRASH and entry.crash not in alive
    }
    unexplained = known_crashes - explained_by_parts
    crashes = [
        entry
        for entry in entries
        if entry.kind is entry_types.Kind.CRASH
        and entry.crash in unexplained
        and entry.at_s > released.get(entry.fingerprint, float("-inf"))
    ]
    quarantined = _quarantined(crashes)
    explained = {e.crash for e in crashes if e.fingerprint in quarantined}
    suspected = [
        entry
        for entry in crashes
        if entry.crash not in explained
        and entry.at_s > cleared.get(entry.fingerprint, float("-inf"))
    ]
    times = [entry.at_s for entry in suspected]
    suspects = _rank(suspected)
    # Cleared suspects keep their ranks for a while.  Otherwise all later
    # suspects would move to engines on which others are running.
    since_s = max(times, default=now_s) - CLEARED_RANK_S
    ranked = _rank(
        [
            entry
            for entry in crashes
            if entry.crash not in explained
            and (entry.at_s > since_s or entry.fingerprint in suspects)
        ]
    )
    oldest_s = min((e.at_s for e in entries), default=float("inf"))
    return _Conclusions(
        quarantined=frozenset(quarantined),
        suspects=suspects,
        ranked=ranked,
        crashes=frozenset(known_crashes),
        first_crash_s=min(times, default=now_s),
        last_crash_s=max(times, default=now_s),
        until_s=oldest_s + expiry_s,
    )


def _rank(suspected: Sequence[entry_types.Entry]) -> tuple[str, ...]:
    # Ordered by time, so that requests of a crash that a router notices late
    # get the last ranks and do not move suspects that are already running.
    first_s: dict[str, float] = {}
    for entry in suspected:
        known_s = first_s.get(entry.fingerprint, entry.at_s)
        first_s[entry.fingerprint] = min(known_s, entry.at_s)
    return tuple(
        sorted(
            first_s,
            key=lambda fingerprint: (first_s[fingerprint], fingerprint),
        )
    )


def _latest(
    entries: Iterable[entry_types.Entry], kind: entry_types.Kind
) -> dict[str, float]:
    latest: dict[str, float] = {}
    for entry in entries:
        if entry.kind is kind:
            before_s = latest.get(entry.fingerprint, float("-inf"))
            latest[entry.fingerprint] = max(before_s, entry.at_s)
    return latest


def _quarantined(crashes: Sequence[entry_types.Entry]) -> set[str]:
    """Return the requests to which two crashes are attributed.

    One crash proves nothing: its cause may be the hardware or any other
    request in flight.  A second crash counts only for the request that was
    the single suspect there; with two, an innocent one would be quarantined
    as well.
    """
    on_trial: dict[tuple[str, str], set[str]] = {}
    crashes_of: dict[str, set[tuple[str, str]]] = {}
    for entry in crashes:
        crashes_of.setdefault(entry.fingerprint, set()).add(entry.crash)
        if entry.isolated:
            on_trial.setdefault(entry.crash, set()).add(entry.fingerprint)
    return {
        fingerprint
        for suspects in on_trial.values()
        if len(suspects) == 1
        for fingerprint in suspects
        if len(crashes_of[fingerprint]) >= 2
    }
