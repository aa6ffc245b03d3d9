"""Crashes at which parts of prompts were in flight.  No I/O."""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Iterator
import heapq

import attrs

from toucanrudder.quarantine import entry as entry_types
from toucanrudder.quarantine import log as entry_logs

#: Age at which entries expire.
EXPIRY_S = 7200.0

#: Time for which a clearance is kept after the crashes that it clears.
CLEARANCE_KEPT_S = 60.0

Process = tuple[str, str]


@attrs.define
class Evidence:
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
class Suspect:
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


def without(suspect: Suspect, explained: Collection[Process]) -> Suspect:
    """Return a suspect without the crashes that something else explains."""
    live = {
        process: sequence
        for process, sequence in suspect.live.items()
        if process not in explained
    }
    return attrs.evolve(suspect, live=live)


def join(content: str, suspects: Collection[Suspect]) -> Suspect:
    """Return the suspects of several organisations as one."""
    return Suspect(
        content,
        {
            process: sequence
            for suspect in suspects
            for process, sequence in suspect.live.items()
        },
        all(suspect.is_vouched for suspect in suspects),
        max(suspect.last_crash_s for suspect in suspects),
    )


class EvidenceTable:
    """Crashes by part; merging is commutative and idempotent.

    Parameters
    ----------
    is_vouched : callable
        Given a part and the Unix time, returns whether a request with it was
        answered here a short time before.
    max_entries : int
        Crashes that are kept; those that prove least are evicted first.
    log : log.EntryLog
        Where entries are recorded in the order in which they become known.

    Attributes
    ----------
    suspects : dict
        The parts with crashes that count.
    suspects_by_content : dict
        The same in groups of those that differ by organisation only.
    seen_at_s : dict
        When each crash happened, or became known if that was earlier.
    alive : set
        Processes that have answered since their presumed crash.
    """

    def __init__(
        self,
        is_vouched: Callable[[str, float], bool],
        max_entries: int,
        log: entry_logs.EntryLog,
    ):
        self._is_vouched = is_vouched
        self._max_entries = max_entries
        self._log = log
        self._crash_count = 0
        # No entry expires earlier.
        self._next_expiry_s = float("inf")
        self._evidence: dict[str, Evidence] = {}
        self._parts_at: dict[Process, set[str]] = {}
        self._owned: dict[str, set[str]] = {}
        self.suspects: dict[str, Suspect] = {}
        self.suspects_by_content: dict[str, dict[str, Suspect]] = {}
        self._most_steps: dict[str, int] = {}
        self.seen_at_s: dict[Process, float] = {}
        self.alive: set[Process] = set()

    @property
    def is_empty(self) -> bool:
        """Whether nothing is known of any part."""
        return not self._evidence

    def sequence(self, part: str) -> int:
        """Return the highest sequence that is known of a part.

        Organisations share it, so that crashes with the requests of several
        are one sequence.
        """
        owned = self._owned.get(entry_types.content_of(part), ())
        return max(
            (self._evidence[each].sequence for each in owned), default=0
        )

    def parts_at(self, process: Process) -> Collection[str]:
        """Return the parts that were in flight at a crash."""
        return self._parts_at.get(process, ())

    def set_alive(self, process: Process, is_alive: bool) -> None:
        """Record whether a process has answered since its presumed crash."""
        if is_alive:
            self.alive.add(process)
        else:
            self.alive.discard(process)
        self._update_suspects(self.parts_at(process))

    def merge(
        self,
        entries: Iterable[entry_types.Entry],
        now_s: float,
        source: int | None = None,
    ) -> bool:
        """Merge entries; return whether any was new.

        Parameters
        ----------
        entries : iterable of entry.Entry
            The entries.
        now_s : float
            Unix time.
        source : int or None
            Digest key of the peer that sent them; None for this router's.
        """
        changed = {
            entry.fingerprint
            for entry in entries
            if abs(now_s - entry.at_s) < EXPIRY_S
            and self._merge_entry(entry, now_s, source)
        }
        if changed:
            self._update_suspects(changed)
            self._evict()
        return bool(changed)

    def _merge_entry(
        self, entry: entry_types.Entry, now_s: float, source: int | None
    ) -> bool:
        if entry.kind is not entry_types.Kind.CRASH:
            return self._merge_clearance(entry, source)
        vouched = entry.is_vouched or self._is_vouched(
            entry.fingerprint, now_s
        )
        evidence = self._of(entry.fingerprint)
        known = evidence.crashes.get(entry.crash)
        if known is None:
            merged = attrs.evolve(entry, is_vouched=vouched)
            self._crash_count += 1
        elif (
            entry.at_s >= known.at_s
            and entry.sequence <= known.sequence
            and known.is_vouched >= vouched
        ):
            self._log.add_holder(entry, source)
            return False
        else:
            merged = attrs.evolve(
                known,
                at_s=min(known.at_s, entry.at_s),
                sequence=max(known.sequence, entry.sequence),
                is_vouched=known.is_vouched or vouched,
            )
        evidence.crashes[entry.crash] = merged
        self._parts_at.setdefault(entry.crash, set()).add(entry.fingerprint)
        # A router that has just started hears of crashes long after them.
        self.seen_at_s.setdefault(entry.crash, min(now_s, entry.at_s))
        self._expire_at(merged.at_s + EXPIRY_S)
        self._record(merged, entry, source)
        return True

    def _merge_clearance(
        self, entry: entry_types.Entry, source: int | None
    ) -> bool:
        evidence = self._of(entry.fingerprint)
        is_new = entry.sequence > evidence.cleared
        if not is_new and entry.at_s <= evidence.cleared_at_s:
            self._log.add_holder(entry, source)
            return False
        evidence.cleared = max(evidence.cleared, entry.sequence)
        evidence.cleared_at_s = max(evidence.cleared_at_s, entry.at_s)
        self._expire_at(evidence.cleared_at_s + CLEARANCE_KEPT_S)
        self._record(_clearance(entry.fingerprint, evidence), entry, source)
        return is_new

    def _record(
        self,
        merged: entry_types.Entry,
        received: entry_types.Entry,
        source: int | None,
    ) -> None:
        holder = source if merged == received else None
        self._log.record(merged, holder, is_own=source is None)

    def _expire_at(self, at_s: float) -> None:
        self._next_expiry_s = min(self._next_expiry_s, at_s)

    def _update_suspects(self, parts: Iterable[str]) -> None:
        for part in parts:
            suspect = self._suspect(part)
            content = entry_types.content_of(part)
            group = self.suspects_by_content.setdefault(content, {})
            if suspect is None:
                self.suspects.pop(part, None)
                group.pop(part, None)
            else:
                self.suspects[part] = suspect
                group[part] = suspect
            if group:
                self._most_steps[content] = _most_steps(group.values())
            else:
                del self.suspects_by_content[content]
                self._most_steps.pop(content, None)

    def contents_with_steps(self, steps: int) -> list[str]:
        """Return the contents that may have as many crashes in sequence."""
        return [
            content
            for content, most in self._most_steps.items()
            if most >= steps
        ]

    def _suspect(self, part: str) -> Suspect | None:
        evidence = self._evidence.get(part)
        live = evidence.live(self.alive) if evidence else {}
        if not live:
            return None
        entries = [evidence.crashes[process] for process in live]
        return Suspect(
            part,
            live,
            any(entry.is_vouched for entry in entries),
            max(entry.at_s for entry in entries),
        )

    def _of(self, part: str) -> Evidence:
        if part not in self._evidence:
            self._evidence[part] = Evidence()
            content = entry_types.content_of(part)
            self._owned.setdefault(content, set()).add(part)
        return self._evidence[part]

    def _remove(self, part: str) -> None:
        evidence = self._evidence.pop(part)
        if evidence.cleared:
            self._log.discard(_clearance(part, evidence))
        content = entry_types.content_of(part)
        self._owned[content].discard(part)
        if not self._owned[content]:
            del self._owned[content]

    def expire(self, now_s: float) -> None:
        """Drop entries that have expired."""
        if now_s < self._next_expiry_s:
            return
        self._next_expiry_s = float("inf")
        for part, evidence in list(self._evidence.items()):
            for process, entry in list(evidence.crashes.items()):
                if now_s - entry.at_s >= EXPIRY_S:
                    self._drop(part, process)
                else:
                    self._expire_at(entry.at_s + EXPIRY_S)
            if evidence.crashes:
                continue
            if now_s - evidence.cleared_at_s > CLEARANCE_KEPT_S:
                self._remove(part)
            else:
                self._expire_at(evidence.cleared_at_s + CLEARANCE_KEPT_S)

    def _drop(self, part: str, process: Process) -> None:
        self._log.discard(self._evidence[part].crashes.pop(process))
        self._crash_count -= 1
        self._update_suspects([part])
        present = self._parts_at[process]
        present.discard(part)
        if not present:
            del self._parts_at[process], self.seen_at_s[process]

    def _evict(self) -> None:
        if len(self._evidence) > 2 * self._max_entries:
            self._drop_empty()
        if self._crash_count <= self._max_entries:
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
            self._remove(part)

    def _ranked_entries(
        self,
    ) -> Iterator[tuple[tuple, entry_types.Entry]]:
        """Yield each crash with what ranks it; the least proves least."""
        for part, evidence in self._evidence.items():
            suspect = self.suspects.get(part)
            for process, entry in evidence.crashes.items():
                is_live = suspect is not None and process in suspect.live
                steps = suspect.steps if is_live else 0
                is_bare = is_live and not entry.is_vouched
                yield (steps, is_bare, entry.at_s, part, process), entry

    def groups(self) -> Iterator[tuple[str, list[entry_types.Entry]]]:
        """Yield each part with its entries."""
        for part, evidence in self._evidence.items():
            yield part, self._entries_of(part, evidence)

    def _entries_of(
        self, part: str, evidence: Evidence
    ) -> list[entry_types.Entry]:
        entries = list(evidence.crashes.values())
        if evidence.cleared:
            entries.append(_clearance(part, evidence))
        return entries


def _clearance(part: str, evidence: Evidence) -> entry_types.Entry:
    return entry_types.Entry(
        entry_types.Kind.CLEARED,
        part,
        evidence.cleared_at_s,
        sequence=evidence.cleared,
    )


def _most_steps(suspects: Iterable[Suspect]) -> int:
    """Return the most steps that suspects can have when they are joined."""
    return len({step for each in suspects for step in each.live.values()})
