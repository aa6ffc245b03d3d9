"""Detection of parts of prompts that crash engines.  No I/O.

Requests that share a part which crashes each engine may have nothing else in
common, so that none of them is seen twice.  Each part of a prompt that was in
flight at a crash is therefore held against it, and a complete answer to a
request with the part clears it.

Several crashes at once are one piece of evidence: requests that were sent
before the first of them have met the same fault of a zone, a link or a
supervisor.  What counts is how often a part was sent *after* an earlier crash
with it was known, and crashed an engine again with no complete answer in
between.  The number of such steps goes along with each entry, so that no
clocks are compared.
"""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Iterator
import heapq

import attrs

from toucanrudder.quarantine import entry as entry_types

#: Crashes in sequence after which a part is blocked.
MAX_SEQUENCE = 3

#: The same for a part that was answered completely a short time before, or
#: was absent from other crashes of its time.
MAX_DOUBTED_SEQUENCE = 5

#: Age at which a crash counts, so that peers can report what else was in
#: flight there.
SETTLE_S = 0.2

#: Time for which a complete answer vouches for the parts of its prompt.
VOUCH_S = 60.0

#: Time after its last crash for which a part is blocked.
BLOCK_S = 3600.0

#: Time after its last crash at which a request with a blocked part may be
#: tried again, one at a time.
TRIAL_AFTER_S = 600.0

#: Age at which entries expire.  A part that is tried again after `BLOCK_S`
#: is blocked again at its next crash.
EXPIRY_S = 2 * BLOCK_S

MAX_ENTRIES = 4096
MAX_VOUCHED = 16_384

#: Parts of one prompt that are held against it.
MAX_PARTS = 64

Process = tuple[str, str]


@attrs.define
class _Evidence:
    """Crashes with one part, and the sequence up to which it is cleared."""

    crashes: dict[Process, entry_types.Entry] = attrs.field(factory=dict)
    cleared: int = 0
    cleared_at_s: float = float("-inf")

    @property
    def sequence(self) -> int:
        """The highest sequence that is known."""
        known = [entry.sequence for entry in self.crashes.values()]
        return max(self.cleared, *known) if known else self.cleared

    def live(self, alive: Collection[Process]) -> dict[Process, int]:
        """Return the sequences of crashes that still count, by process."""
        return {
            process: entry.sequence
            for process, entry in self.crashes.items()
            if entry.sequence > self.cleared and process not in alive
        }


@attrs.frozen
class _Suspect:
    """A part with the crashes that count against it."""

    part: str
    live: dict[Process, int]
    is_vouched: bool
    last_crash_s: float

    @property
    def steps(self) -> int:
        """Number of crashes in sequence."""
        return len(set(self.live.values()))

    @property
    def strength(self) -> tuple[bool, int]:
        """How well it explains the crashes, compared with others."""
        return (not self.is_vouched, len(self.live))


@attrs.frozen
class _Block:
    """A blocked part.

    Parameters
    ----------
    suspect : _Suspect
        The part with its crashes.
    group : frozenset of str
        Parts that were in flight at just these crashes, the part included.
        Which of them is the cause is open, so only prompts with all of them
        are refused.
    """

    suspect: _Suspect
    group: frozenset[str]


def _no_requests(process: Process) -> Collection[str]:
    return ()


class PartTracker:
    """Parts of prompts, with the crashes that they were in flight at.

    Conclusions depend on the merged entries, and on when they came.

    Parameters
    ----------
    requests_at : callable
        Given a process that crashed, returns the requests in flight there.
    max_entries : int
        Crashes that are kept; those that prove least are evicted first.

    Examples
    --------
    >>> tracker = PartTracker()
    >>> for number in range(3):
    ...     sent = [("p", tracker.next_sequence("p"))]
    ...     _ = tracker.record_crash(("e", f"i{number}"), sent, now_s=0.0)
    >>> tracker.blocked(["o", "p"], now_s=1.0)
    'p'
    """

    def __init__(
        self,
        requests_at: Callable[[Process], Collection[str]] = _no_requests,
        max_entries: int = MAX_ENTRIES,
    ):
        self._requests_at = requests_at
        self._max_entries = max_entries
        self._evidence: dict[str, _Evidence] = {}
        self._suspects: dict[str, _Suspect] = {}
        self._parts_at: dict[Process, set[str]] = {}
        self._seen_at_s: dict[Process, float] = {}
        self._alive: set[Process] = set()
        self._vouched_at_s: dict[str, float] = {}
        self._blocked: dict[str, _Block] | None = None
        self._valid_until_s = float("inf")

    @property
    def is_empty(self) -> bool:
        """Whether there were no recent crashes."""
        return not self._evidence

    def next_sequence(self, part: str) -> int:
        """Return the sequence of a crash of a request that is sent now."""
        evidence = self._evidence.get(part)
        return evidence.sequence + 1 if evidence else 1

    def sent(self, parts: Iterable[str]) -> tuple[tuple[str, int], ...]:
        """Return parts with their sequences, for a request sent now."""
        return tuple((part, self.next_sequence(part)) for part in parts)

    def record_crash(
        self,
        process: Process,
        sent_parts: Iterable[tuple[str, int]],
        now_s: float,
    ) -> bool:
        """Record that an engine process crashed during a request.

        Parameters
        ----------
        process : tuple of str
            Upstream and incarnation.
        sent_parts : iterable of tuple
            The parts that the prompt may share, each with `next_sequence` as
            it was when the request was sent.
        now_s : float
            Unix time.

        Returns
        -------
        bool
            Whether any entry was new.
        """
        return self.merge(
            [
                entry_types.Entry(
                    entry_types.Kind.CRASH,
                    part,
                    now_s,
                    *process,
                    sequence=sequence,
                )
                for part, sequence in self._least_proved(sent_parts, now_s)
            ],
            now_s,
        )

    def _least_proved(
        self, sent_parts: Iterable[tuple[str, int]], now_s: float
    ) -> list[tuple[str, int]]:
        ordered = sorted(
            dict(sent_parts).items(),
            key=lambda sent: self._is_vouched_here(sent[0], now_s),
        )
        return ordered[:MAX_PARTS]

    def record_completion(self, parts: Iterable[str], now_s: float) -> bool:
        """Record a complete answer; return whether it clears any part."""
        cleared = []
        for part in parts:
            self._vouched_at_s.pop(part, None)
            self._vouched_at_s[part] = now_s
            if part in self._suspects:
                cleared.append(self._clearance(part, now_s))
        while len(self._vouched_at_s) > MAX_VOUCHED:
            del self._vouched_at_s[next(iter(self._vouched_at_s))]
        return self.merge(cleared, now_s)

    def _clearance(
        self,
        part: str,
        now_s: float,
        kind: entry_types.Kind = entry_types.Kind.CLEARED,
    ) -> entry_types.Entry:
        sequence = self._evidence[part].sequence
        return entry_types.Entry(kind, part, now_s, sequence=sequence)

    def release(self, part: str, now_s: float) -> None:
        """Release a part on an operator's order."""
        block = self._current(now_s).get(part)
        if block is not None:
            released = entry_types.Kind.RELEASED
            self.merge(
                [
                    self._clearance(each, now_s, released)
                    for each in block.group
                ],
                now_s,
            )

    def record_alive(self, process: Process) -> None:
        """Record that a process has answered since its presumed crash."""
        self._alive.add(process)
        self._update_suspects(self._parts_at.get(process, ()))

    def forget_alive(self, process: Process) -> None:
        """Forget that a process has answered."""
        self._alive.discard(process)
        self._update_suspects(self._parts_at.get(process, ()))

    def _update_suspects(self, parts: Iterable[str]) -> None:
        for part in parts:
            suspect = self._suspect(part)
            if suspect is None:
                self._suspects.pop(part, None)
            else:
                self._suspects[part] = suspect
            self._blocked = None

    def _suspect(self, part: str) -> _Suspect | None:
        evidence = self._evidence.get(part)
        live = evidence.live(self._alive) if evidence else {}
        if not live:
            return None
        entries = [evidence.crashes[process] for process in live]
        return _Suspect(
            part,
            live,
            any(entry.is_vouched for entry in entries),
            max(entry.at_s for entry in entries),
        )

    def _is_vouched_here(self, part: str, now_s: float) -> bool:
        at_s = self._vouched_at_s.get(part)
        return at_s is not None and abs(now_s - at_s) < VOUCH_S

    def merge(
        self, entries: Iterable[entry_types.Entry], now_s: float
    ) -> bool:
        """Merge entries; return whether any was new."""
        changed = {
            entry.fingerprint
            for entry in entries
            if abs(now_s - entry.at_s) < EXPIRY_S
            and self._merge_entry(entry, now_s)
        }
        if changed:
            self._update_suspects(changed)
            self._evict()
        return bool(changed)

    def _merge_entry(self, entry: entry_types.Entry, now_s: float) -> bool:
        evidence = self._evidence.setdefault(entry.fingerprint, _Evidence())
        if entry.kind is not entry_types.Kind.CRASH:
            is_new = entry.sequence > evidence.cleared
            evidence.cleared = max(evidence.cleared, entry.sequence)
            evidence.cleared_at_s = max(evidence.cleared_at_s, entry.at_s)
            return is_new
        vouched = entry.is_vouched or self._is_vouched_here(
            entry.fingerprint, now_s
        )
        known = evidence.crashes.get(entry.crash)
        merged = attrs.evolve(entry, is_vouched=vouched)
        if known is not None:
            merged = attrs.evolve(
                known,
                at_s=min(known.at_s, entry.at_s),
                sequence=max(known.sequence, entry.sequence),
                is_vouched=known.is_vouched or vouched,
            )
        if merged == known:
            return False
        evidence.crashes[entry.crash] = merged
        self._parts_at.setdefault(entry.crash, set()).add(entry.fingerprint)
        # A router that has just started hears of crashes long after them.
        self._seen_at_s.setdefault(entry.crash, min(now_s, entry.at_s))
        return True

    # Conclusions.

    def blocked(self, parts: Collection[str], now_s: float) -> str | None:
        """Return the first part of a prompt for which it is refused, if any.

        Parameters
        ----------
        parts : collection of str
            All parts of the prompt that others may share.
        now_s : float
            Unix time.
        """
        if not self._evidence:
            return None
        current = self._current(now_s)
        for part in parts:
            if part in current and current[part].group.issubset(parts):
                return part
        return None

    def is_trial_due(self, part: str, now_s: float) -> bool:
        """Whether one request with a blocked part may be tried again."""
        block = self._current(now_s).get(part)
        if block is None:
            return False
        return now_s - block.suspect.last_crash_s >= TRIAL_AFTER_S

    def all_blocked(self, now_s: float) -> tuple[str, ...]:
        """Return the parts that are blocked."""
        return tuple(sorted(self._current(now_s)))

    def group(self, part: str, now_s: float) -> tuple[str, ...]:
        """Return the parts with which a blocked one is refused."""
        block = self._current(now_s).get(part)
        return tuple(sorted(block.group)) if block else ()

    def explained(self, now_s: float) -> set[Process]:
        """Return the crashes that blocked parts have caused."""
        return {
            process
            for block in self._current(now_s).values()
            for process in block.suspect.live
        }

    def crashes(self, part: str) -> int:
        """Return the number of crashes that count against a part."""
        suspect = self._suspects.get(part)
        return len(suspect.live) if suspect else 0

    def block_ends_s(self, part: str, now_s: float) -> float:
        """Return the Unix time until which a part is blocked."""
        block = self._current(now_s).get(part)
        return block.suspect.last_crash_s + BLOCK_S if block else now_s

    def _current(self, now_s: float) -> dict[str, _Block]:
        if self._blocked is None or now_s >= self._valid_until_s:
            self._expire(now_s)
            self._valid_until_s = float("inf")
            self._blocked = self._conclude(now_s)
        return self._blocked

    def _conclude(self, now_s: float) -> dict[str, _Block]:
        suspects = [
            suspect
            for suspect in self._suspects.values()
            if suspect.steps >= MAX_SEQUENCE
            and now_s - suspect.last_crash_s < BLOCK_S
        ]
        suspects.sort(
            key=lambda s: (*(-int(rank) for rank in s.strength), s.part)
        )
        blocked: dict[str, _Block] = {}
        explained: set[Process] = set()
        for suspect in suspects:
            left = self._settled(_without(suspect, explained), now_s)
            if left.steps < self._needed_steps(left, explained):
                continue
            group = self._indistinguishable(left, explained, now_s)
            if group is not None:
                blocked[suspect.part] = _Block(suspect, group)
                explained |= set(suspect.live)
                self._check_again_at(suspect.last_crash_s + BLOCK_S)
        return blocked | self._blocked_elsewhere(blocked, explained, now_s)

    def _check_again_at(self, at_s: float) -> None:
        self._valid_until_s = min(self._valid_until_s, at_s)

    def _settled(self, suspect: _Suspect, now_s: float) -> _Suspect:
        """Return a suspect with the crashes that peers could report on."""
        settled = {}
        for process, sequence in suspect.live.items():
            seen_s = self._seen_at_s[process]
            if abs(now_s - seen_s) >= SETTLE_S:
                settled[process] = sequence
            else:
                self._check_again_at(seen_s + SETTLE_S)
        return attrs.evolve(suspect, live=settled)

    def _needed_steps(
        self, suspect: _Suspect, explained: Collection[Process]
    ) -> int:
        """Return the crashes in sequence after which a suspect is blocked."""
        seen_s = [self._seen_at_s[process] for process in suspect.live]
        if suspect.is_vouched or not seen_s:
            return MAX_DOUBTED_SEQUENCE
        crashes = sum(
            min(seen_s) <= at_s <= max(seen_s)
            for process, at_s in self._seen_at_s.items()
            if process not in explained and process not in self._alive
        )
        if crashes > len(suspect.live):
            return MAX_DOUBTED_SEQUENCE
        return MAX_SEQUENCE

    def _blocked_elsewhere(
        self,
        blocked: dict[str, _Block],
        explained: Collection[Process],
        now_s: float,
    ) -> dict[str, _Block]:
        """Return suspects that another organisation has shown to be bad."""
        contents = {entry_types.content_of(part) for part in blocked}
        found = {}
        for part, suspect in self._suspects.items() if contents else ():
            is_known = entry_types.content_of(part) in contents
            is_recent = now_s - suspect.last_crash_s < BLOCK_S
            if part in blocked or not is_known or not is_recent:
                continue
            left = _without(suspect, explained)
            if left.live and not left.is_vouched:
                found[part] = _Block(suspect, frozenset({part}))
        return found

    def _indistinguishable(
        self,
        suspect: _Suspect,
        explained: Collection[Process],
        now_s: float,
    ) -> frozenset[str] | None:
        """Return the parts that explain a suspect's crashes equally well.

        None if something else explains them better: a part with more
        crashes, or one request that was sent again and again.
        """
        processes = list(suspect.live)
        if set.intersection(
            *(set(self._requests_at(process)) for process in processes)
        ):
            return None
        present = set.intersection(
            *(self._parts_at[process] for process in processes)
        )
        rivals = [
            self._settled(_without(self._suspects[part], explained), now_s)
            for part in present
            if part in self._suspects
        ]
        if any(rival.strength > suspect.strength for rival in rivals):
            return None
        return frozenset(
            rival.part
            for rival in rivals
            if rival.strength == suspect.strength
        )

    # Bounds.

    def _expire(self, now_s: float) -> None:
        for part, evidence in list(self._evidence.items()):
            for process, entry in list(evidence.crashes.items()):
                if now_s - entry.at_s >= EXPIRY_S:
                    self._drop(part, process)
            if (
                not evidence.crashes
                and now_s - evidence.cleared_at_s > VOUCH_S
            ):
                self._evidence.pop(part, None)

    def _drop(self, part: str, process: Process) -> None:
        del self._evidence[part].crashes[process]
        self._update_suspects([part])
        present = self._parts_at[process]
        present.discard(part)
        if not present:
            del self._parts_at[process], self._seen_at_s[process]

    def _evict(self) -> None:
        if len(self._evidence) > 2 * self._max_entries:
            self._drop_empty()
        count = sum(len(e.crashes) for e in self._evidence.values())
        if count <= self._max_entries:
            return
        ranked = list(self._ranked_entries())
        keep_count = self._max_entries * 7 // 8
        for _, entry in heapq.nsmallest(
            len(ranked) - keep_count, ranked, key=lambda pair: pair[0]
        ):
            self._drop(entry.fingerprint, entry.crash)
        self._drop_empty()

    def _drop_empty(self) -> None:
        for part in [p for p, e in self._evidence.items() if not e.crashes]:
            del self._evidence[part]

    def _ranked_entries(
        self,
    ) -> Iterator[tuple[tuple, entry_types.Entry]]:
        """Yield each crash with what ranks it; the least proves least."""
        for part, evidence in self._evidence.items():
            live = evidence.live(self._alive)
            steps = len(set(live.values()))
            for process, entry in evidence.crashes.items():
                is_live = process in live
                is_bare = is_live and not entry.is_vouched
                rank = (is_live, steps if is_live else 0, is_bare, entry.at_s)
                yield (*rank, part, process), entry

    def entries(
        self,
        now_s: float,
        since_s: float = float("-inf"),
        limit: int | None = None,
    ) -> tuple[entry_types.Entry, ...]:
        """Return the entries to send to others, the most telling first.

        Parameters
        ----------
        now_s : float
            Unix time.
        since_s : float
            Unix time before which only entries of blocked parts are wanted.
        limit : int or None
            Most entries to return; None for all.
        """
        groups = []
        involved = {
            part
            for block in self._current(now_s).values()
            for part in block.group
        }
        for part, evidence in self._evidence.items():
            is_blocked = part in involved
            wanted_since_s = float("-inf") if is_blocked else since_s
            group = [
                entry
                for entry in self._entries_of(part, evidence)
                if entry.at_s >= wanted_since_s
            ]
            if group:
                suspect = self._suspects.get(part)
                steps = suspect.steps if suspect else 0
                newest_s = max(entry.at_s for entry in group)
                groups.append(((is_blocked, steps > 1, newest_s), group))
        groups.sort(key=lambda ranked: ranked[0], reverse=True)
        sent = [entry for _, group in groups for entry in group]
        return tuple(sent[:limit])

    def _entries_of(
        self, part: str, evidence: _Evidence
    ) -> list[entry_types.Entry]:
        entries = list(evidence.crashes.values())
        if evidence.cleared:
            entries.append(
                entry_types.Entry(
                    entry_types.Kind.CLEARED,
                    part,
                    evidence.cleared_at_s,
                    sequence=evidence.cleared,
                )
            )
        return entries


def _without(suspect: _Suspect, explained: Collection[Process]) -> _Suspect:
    live = {
        process: sequence
        for process, sequence in suspect.live.items()
        if process not in explained
    }
    return attrs.evolve(suspect, live=live)
