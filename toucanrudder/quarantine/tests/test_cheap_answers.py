"""Answers that need no conclusions, compared with full conclusions."""

import random

import pytest

from toucanrudder.quarantine import entry
from toucanrudder.quarantine import evidence
from toucanrudder.quarantine import parts as part_trackers
from toucanrudder.quarantine import suspects

MAX_SEQUENCE = part_trackers.MAX_SEQUENCE

PARTS = [
    entry.part_fingerprint(organisation, "m", identity)
    for organisation in ("a", "b", "c")
    for identity in ("1", "2", "3")
]
REQUESTS = [f"r{number}" for number in range(6)]
PROCESSES = [(f"e{number % 5}", f"i{number}") for number in range(12)]

#: Pauses between two events: within a crash, to a settled one, and to the
#: ends of clearances, vouching, blocks and entries.
PAUSES_S = [0.0] * 10 + [0.05, 0.25, 1.0, 5.0, 61.0, 601.0, 1801.0, 3601.0]


class FullParts(part_trackers.PartTracker):
    """Looks at all evidence for each conclusion, and at all for expiry."""

    def _current(self, now_s):
        if not self._is_current or now_s >= self._valid_until_s:
            self._evidence._next_expiry_s = float("-inf")
        return super()._current(now_s)

    def _conclude(self, now_s):
        owned = {}
        for suspect in self._evidence.suspects.values():
            if now_s - suspect.last_crash_s < part_trackers.BLOCK_S:
                content = entry.content_of(suspect.part)
                owned.setdefault(content, []).append(suspect)
        joined = {
            content: evidence.join(content, members)
            for content, members in owned.items()
        }
        self._joined = lambda content, _: joined.get(content)
        blocked, explained = {}, set()
        for suspect in sorted(
            (s for s in joined.values() if s.steps >= MAX_SEQUENCE),
            key=lambda s: (*(-int(rank) for rank in s.strength), s.part),
        ):
            left = self._settled(evidence.without(suspect, explained), now_s)
            if left.steps < self._needed_steps(left, explained):
                continue
            group = self._indistinguishable(left, explained, now_s)
            if group is not None:
                block = part_trackers._Block(suspect, group)
                own = part_trackers._own_suspects(owned[suspect.part])
                blocked.update(dict.fromkeys(own, block))
                explained |= set(suspect.live)
                self._check_again_at(
                    suspect.last_crash_s + part_trackers.BLOCK_S
                )
        return blocked

    def _needed_steps(self, suspect, explained):
        seen_at_s = self._evidence.seen_at_s
        seen_s = [seen_at_s[process] for process in suspect.live]
        if not seen_s:
            return MAX_SEQUENCE
        if any(b.suspect.part == suspect.part for b in self._blocked.values()):
            return MAX_SEQUENCE
        crashes = sum(
            min(seen_s) <= at_s <= max(seen_s)
            for process, at_s in seen_at_s.items()
            if process not in explained and process not in self._evidence.alive
        )
        if suspect.is_vouched or crashes > len(suspect.live):
            return part_trackers.MAX_DOUBTED_SEQUENCE
        return MAX_SEQUENCE


class History:
    """The same random events at a tracker and at one that looks at all."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.now_s = 10_000.0
        max_entries = self.rng.choice([12, 40, 400])
        self.cheap = suspects.SuspectTracker(max_entries=max_entries)
        self.full = suspects.SuspectTracker(max_entries=max_entries)
        self.cheap.parts = part_trackers.PartTracker(
            lambda process: self.cheap._requests_at.get(process, ()),
            max_entries,
            self.cheap._log,
        )
        self.full.parts = FullParts(
            lambda process: self.full._requests_at.get(process, ()),
            max_entries,
            self.full._log,
        )

    def step(self):
        self.now_s += self.rng.choice(PAUSES_S)
        kind = self.rng.choices(
            ["crash", "merge", "alive", "answer", "release", "clear"],
            [8, 12, 1, 2, 1, 1],
        )[0]
        # Conclusions that are kept may have been drawn before a part was
        # blocked by the passing of time alone.
        self.cheap._conclusions = self.full._conclusions = None
        getattr(self, f"_{kind}")()
        # What is blocked depends on when it was asked for, and on which
        # requests and signs of life had expired by then.
        for tracker in (self.cheap, self.full):
            tracker.log(self.now_s)

    def _both(self, method, *arguments):
        for tracker in (self.cheap, self.full):
            getattr(tracker, method)(*arguments, self.now_s)

    def _crash(self):
        process = self.rng.choice(PROCESSES)
        in_flight = [
            entry.InFlight(
                self.rng.choice(REQUESTS),
                self.rng.random() < 0.4,
                self.cheap.parts.sent(self.rng.sample(PARTS, 2)),
            )
            for _ in range(self.rng.randint(1, 3))
        ]
        self._both("record_crash", *process, in_flight)

    def _merge(self):
        entries = [self._entry() for _ in range(self.rng.randint(1, 5))]
        for tracker in (self.cheap, self.full):
            tracker.merge(entries, self.now_s, source=self.rng.randrange(3))

    def _entry(self):
        at_s = self.now_s - self.rng.choice([0.0, 0.3, 4.0, 700.0, 3500.0])
        process = self.rng.choice(PROCESSES)
        if self.rng.random() < 0.7:
            return entry.Entry(
                self.rng.choice([entry.Kind.CRASH] * 9 + [entry.Kind.CLEARED]),
                self.rng.choice(PARTS),
                at_s,
                *process,
                sequence=self.rng.randint(1, 6),
                is_vouched=self.rng.random() < 0.2,
            )
        isolated = self.rng.random() < 0.4
        request = self.rng.choice(REQUESTS)
        return entry.Entry(entry.Kind.CRASH, request, at_s, *process, isolated)

    def _alive(self):
        self._both("record_alive", *self.rng.choice(PROCESSES))

    def _answer(self):
        self._both("record_answered", self.rng.sample(PARTS, 2))

    def _release(self):
        self._both("release", self.rng.choice(REQUESTS + PARTS))

    def _clear(self):
        self._both("record_completion", self.rng.choice(REQUESTS))

    def cheap_answers(self):
        tracker, now_s = self.cheap, self.now_s
        tracker._conclusions = None
        prompts = [PARTS, PARTS[:3], *([part] for part in PARTS)]
        return (
            [tracker.parts.blocked(prompt, now_s) for prompt in prompts],
            tracker.parts.all_blocked(now_s),
            [tracker.parts.group(part, now_s) for part in PARTS],
            [tracker.crash_count(name, now_s) for name in REQUESTS],
            [
                tracker.has_crashes(name, count, now_s)
                for name in REQUESTS
                for count in (1, 2, 3)
            ],
            [tracker.standing(name, now_s) for name in REQUESTS],
            [tracker.is_presumed_dead(*each, now_s) for each in PROCESSES],
        )

    def full_answers(self):
        """Return the same from conclusions on all entries."""
        tracker, now_s = self.full, self.now_s
        blocks = tracker.parts._current(now_s)
        prompts = [PARTS, PARTS[:3], *([part] for part in PARTS)]
        blocked = [
            next(
                (
                    p
                    for p in prompt
                    if p in blocks and blocks[p].refuses(prompt)
                ),
                None,
            )
            for prompt in prompts
        ]
        groups = [
            tuple(sorted(blocks[part].group)) if part in blocks else ()
            for part in PARTS
        ]
        explained = {
            process
            for block in blocks.values()
            for process in block.suspect.live
        }
        known = [
            each
            for each in tracker.entries(now_s)
            if not each.sequence and now_s - each.at_s < suspects.EXPIRY_S
        ]
        conclusions = suspects._conclude(
            tuple(known), now_s, suspects.EXPIRY_S, explained
        )
        released = suspects._latest(known, entry.Kind.RELEASED)
        counts = [
            len(
                {
                    each.crash
                    for each in known
                    if each.kind is entry.Kind.CRASH
                    and each.fingerprint == name
                    and each.crash in conclusions.crashes - explained
                    and each.at_s > released.get(name, float("-inf"))
                }
            )
            for name in REQUESTS
        ]
        standings = [
            suspects.Standing.QUARANTINED
            if name in conclusions.quarantined
            else suspects.Standing.SUSPECT
            if name in conclusions.suspects
            else suspects.Standing.FREE
            for name in REQUESTS
        ]
        return (
            blocked,
            tuple(sorted(blocks)),
            groups,
            counts,
            [count >= least for count in counts for least in (1, 2, 3)],
            standings,
            [each in conclusions.crashes for each in PROCESSES],
        )


@pytest.mark.parametrize("seed", range(60))
def test_cheap_answers_are_those_of_full_conclusions(seed):
    history = History(seed)
    for _ in range(120):
        history.step()
        if history.rng.random() < 0.7:
            assert history.cheap_answers() == history.full_answers()
    assert set(history.cheap.entries(history.now_s)) == set(
        history.full.entries(history.now_s)
    )
    log = history.cheap.log(history.now_s)
    logged = log.after(0, receiver=-1, limit=10_000).entries
    assert set(logged) == set(history.cheap.entries(history.now_s))
    assert len(logged) == len(log)


def test_histories_have_blocked_parts_and_convicted_requests():
    blocked = quarantined = counted = 0
    for seed in range(20):
        history = History(seed)
        for _ in range(120):
            history.step()
            _, parts, _, counts, _, standings, _ = history.cheap_answers()
            blocked += bool(parts)
            counted += max(counts) >= 3
            quarantined += suspects.Standing.QUARANTINED in standings
    assert min(blocked, quarantined, counted) > 50
