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

import bisect
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Sequence

import attrs

from toucanrudder.quarantine import entry as entry_types
from toucanrudder.quarantine import evidence as evidence_tables
from toucanrudder.quarantine import log as entry_logs

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

MAX_ENTRIES = 4096
MAX_VOUCHED = 16_384

#: Parts of one prompt that are held against it.
MAX_PARTS = 64

Process = evidence_tables.Process


@attrs.frozen
class _Block:
    """A blocked part.

    Parameters
    ----------
    suspect : Suspect
        The part, in all organisations, with its crashes.
    group : frozenset of str
        Contents of the parts that were in flight at just these crashes, the
        part included.  Which of them is the cause is open, so only prompts
        with all of them are refused.
    """

    suspect: evidence_tables.Suspect
    group: frozenset[str]

    def refuses(self, parts: Collection[str]) -> bool:
        """Whether a prompt with some parts is refused."""
        return self.group.issubset(map(entry_types.content_of, parts))


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
    log : log.EntryLog or None
        Where entries are recorded in the order in which they become known.

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
        log: entry_logs.EntryLog | None = None,
    ):
        self._requests_at = requests_at
        self._evidence = evidence_tables.EvidenceTable(
            self._is_vouched_here,
            max_entries,
            entry_logs.EntryLog() if log is None else log,
        )
        self._vouched_at_s: dict[str, float] = {}
        self._blocked: dict[str, _Block] = {}
        self._is_current = True
        self._valid_until_s = float("inf")

    @property
    def is_empty(self) -> bool:
        """Whether there were no recent crashes."""
        return self._evidence.is_empty

    def next_sequence(self, part: str) -> int:
        """Return the sequence of a crash of a request that is sent now."""
        return self._evidence.sequence(part) + 1

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
            if part in self._evidence.suspects:
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
        sequence = self._evidence.sequence(part)
        return entry_types.Entry(kind, part, now_s, sequence=sequence)

    def release(self, part: str, now_s: float) -> None:
        """Release a part on an operator's order."""
        block = self._current(now_s).get(part)
        if block is not None:
            released = entry_types.Kind.RELEASED
            self.merge(
                [
                    self._clearance(each, now_s, released)
                    for each in self._evidence.suspects
                    if entry_types.content_of(each) in block.group
                ],
                now_s,
            )

    def record_alive(self, process: Process) -> None:
        """Record that a process has answered since its presumed crash."""
        self._evidence.set_alive(process, True)
        self._is_current = False

    def forget_alive(self, process: Process) -> None:
        """Forget that a process has answered."""
        self._evidence.set_alive(process, False)
        self._is_current = False

    def merge(
        self,
        entries: Iterable[entry_types.Entry],
        now_s: float,
        source: int | None = None,
    ) -> bool:
        """Merge entries; return whether any was new.

        Parameters
        ----------
        entries, now_s, source
            As for `EvidenceTable.merge`.
        """
        if not self._evidence.merge(entries, now_s, source):
            return False
        self._is_current = False
        return True

    def _is_vouched_here(self, part: str, now_s: float) -> bool:
        at_s = self._vouched_at_s.get(part)
        return at_s is not None and abs(now_s - at_s) < VOUCH_S

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
        if self._evidence.is_empty:
            return None
        current = self._current(now_s)
        for part in parts:
            if part in current and current[part].refuses(parts):
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
        suspect = self._evidence.suspects.get(part)
        return len(suspect.live) if suspect else 0

    def block_ends_s(self, part: str, now_s: float) -> float:
        """Return the Unix time until which a part is blocked."""
        block = self._current(now_s).get(part)
        return block.suspect.last_crash_s + BLOCK_S if block else now_s

    def _current(self, now_s: float) -> dict[str, _Block]:
        if not self._is_current or now_s >= self._valid_until_s:
            self._evidence.expire(now_s)
            self._valid_until_s = float("inf")
            self._blocked = self._conclude(now_s)
            self._is_current = True
        return self._blocked

    def _conclude(self, now_s: float) -> dict[str, _Block]:
        candidates = []
        for content in self._evidence.contents_with_steps(MAX_SEQUENCE):
            suspect = self._joined(content, now_s)
            if suspect is not None and suspect.steps >= MAX_SEQUENCE:
                candidates.append(suspect)
        blocked: dict[str, _Block] = {}
        explained: set[Process] = set()
        unexplained_s = self._crash_times(explained)
        for suspect in sorted(
            candidates,
            key=lambda s: (*(-int(rank) for rank in s.strength), s.part),
        ):
            left = self._settled(
                evidence_tables.without(suspect, explained), now_s
            )
            if left.steps < self._needed_steps(left, unexplained_s):
                continue
            group = self._indistinguishable(left, explained, now_s)
            if group is not None:
                block = _Block(suspect, group)
                for part in _own_suspects(self._members(suspect.part, now_s)):
                    blocked[part] = block
                explained |= set(suspect.live)
                unexplained_s = self._crash_times(explained)
                self._check_again_at(suspect.last_crash_s + BLOCK_S)
        return blocked

    def _members(
        self, content: str, now_s: float
    ) -> list[evidence_tables.Suspect]:
        """Return the suspects with a content that may be blocked."""
        group = self._evidence.suspects_by_content.get(content, {})
        return [
            suspect
            for suspect in group.values()
            if now_s - suspect.last_crash_s < BLOCK_S
        ]

    def _joined(
        self, content: str, now_s: float
    ) -> evidence_tables.Suspect | None:
        members = self._members(content, now_s)
        return evidence_tables.join(content, members) if members else None

    def _check_again_at(self, at_s: float) -> None:
        self._valid_until_s = min(self._valid_until_s, at_s)

    def _settled(
        self, suspect: evidence_tables.Suspect, now_s: float
    ) -> evidence_tables.Suspect:
        """Return a suspect with the crashes that peers could report on."""
        settled = {}
        for process, sequence in suspect.live.items():
            seen_s = self._evidence.seen_at_s[process]
            if abs(now_s - seen_s) >= SETTLE_S:
                settled[process] = sequence
            else:
                self._check_again_at(seen_s + SETTLE_S)
        return attrs.evolve(suspect, live=settled)

    def _crash_times(self, explained: Collection[Process]) -> list[float]:
        """Return in order when the crashes happened that are unexplained."""
        return sorted(
            at_s
            for process, at_s in self._evidence.seen_at_s.items()
            if process not in explained and process not in self._evidence.alive
        )

    def _needed_steps(
        self, suspect: evidence_tables.Suspect, unexplained_s: Sequence[float]
    ) -> int:
        """Return the crashes in sequence after which a suspect is blocked.

        Parameters
        ----------
        suspect : Suspect
            A part without the crashes that are explained.
        unexplained_s : sequence of float
            As `_crash_times` returns.
        """
        seen_s = [
            self._evidence.seen_at_s[process] for process in suspect.live
        ]
        if not seen_s:
            return MAX_SEQUENCE
        if any(b.suspect.part == suspect.part for b in self._blocked.values()):
            # What becomes known later ends no block.
            return MAX_SEQUENCE
        if suspect.is_vouched:
            return MAX_DOUBTED_SEQUENCE
        first = bisect.bisect_left(unexplained_s, min(seen_s))
        crashes = bisect.bisect_right(unexplained_s, max(seen_s)) - first
        if crashes > len(suspect.live):
            return MAX_DOUBTED_SEQUENCE
        return MAX_SEQUENCE

    def _indistinguishable(
        self,
        suspect: evidence_tables.Suspect,
        explained: Collection[Process],
        now_s: float,
    ) -> frozenset[str] | None:
        """Return the contents that explain a suspect's crashes equally well.

        None if something else explains them better: a part with more
        crashes, or one request that was sent again and again.
        """
        processes = list(suspect.live)
        if set.intersection(
            *(set(self._requests_at(process)) for process in processes)
        ):
            return None
        present = set.intersection(
            *(
                set(map(entry_types.content_of, self._evidence.parts_at(each)))
                for each in processes
            )
        )
        joined = [self._joined(content, now_s) for content in present]
        rivals = [
            self._settled(evidence_tables.without(each, explained), now_s)
            for each in joined
            if each is not None
        ]
        if any(rival.strength > suspect.strength for rival in rivals):
            return None
        return frozenset(
            rival.part
            for rival in rivals
            if rival.strength == suspect.strength
        )

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
            content
            for block in self._current(now_s).values()
            for content in block.group
        }
        for part, known in self._evidence.groups():
            is_blocked = entry_types.content_of(part) in involved
            wanted_since_s = float("-inf") if is_blocked else since_s
            group = [entry for entry in known if entry.at_s >= wanted_since_s]
            if group:
                suspect = self._evidence.suspects.get(part)
                steps = suspect.steps if suspect else 0
                newest_s = max(entry.at_s for entry in group)
                groups.append(((is_blocked, steps > 1, newest_s), group))
        groups.sort(key=lambda ranked: ranked[0], reverse=True)
        sent = [entry for _, group in groups for entry in group]
        return tuple(sent[:limit])


def _own_suspects(
    members: Collection[evidence_tables.Suspect],
) -> list[str]:
    """Return the parts of organisations that have crashes of their own.

    A crash at which the same part of another organisation was in flight may
    be due to that one alone; what its callers claim blocks nobody else's.
    """
    found = []
    for member in members:
        elsewhere = {
            process
            for other in members
            if other.part != member.part
            for process in other.live
        }
        own = evidence_tables.without(member, elsewhere)
        if own.live and not (member.is_vouched and own.steps < MAX_SEQUENCE):
            found.append(member.part)
    return found
