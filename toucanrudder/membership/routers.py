"""Failure detection of routers from gossiped heartbeats.  No I/O.

A router's heartbeats carry its incarnation (the wall clock at its start,
in milliseconds) and a beat, a counter that rises by one.  Routers gossip
what they know of others, so each exchanges heartbeats with only a few:
new and changed members are sent in full, of the others only the newest
beats, in a digest.
"""

from collections.abc import Iterable
from collections.abc import Sequence
import functools
import hashlib
import itertools
import random

import attrs

#: Multiple of `silent_s` after which a dead router is forgotten.  Its last
#: beat must be remembered until no router gossips it any more; otherwise
#: two routers would keep reporting it to each other as just heard.
FORGET_FACTOR = 20

#: Routers remembered, live or dead; bounds the memory that a faulty peer
#: can fill.
MAX_ROUTERS = 2_048

#: Age up to which a beat is probably unknown to most other routers.
DIGEST_FRESH_S = 1.0

#: Time for which a new or changed member is gossiped in full.
NEW_MEMBER_S = 5.0

#: Highest plausible rate of a router's beats, and the delay allowed for
#: beats that were sent before the last one was received.
MAX_BEATS_PER_S = 1_000
BEAT_SLACK_S = 1.0


@attrs.frozen
class Member:
    """A router as gossiped between routers.

    Parameters
    ----------
    name : str
        Its name in the settings.
    address : str
        ``IP:port`` of its peer port.
    incarnation : int
        Start of its process, milliseconds since the epoch.
    beat : int
        Rises with each heartbeat.
    leaving : bool
        Whether it is stopping.
    zone : str
        Its availability zone, or empty.
    """

    name: str
    address: str
    incarnation: int
    beat: int = 0
    leaving: bool = False
    zone: str = ""

    @property
    def progress(self) -> tuple[int, int]:
        """Incarnation and beat, which only the router itself increases."""
        return (self.incarnation, self.beat)

    def with_beat(self, beat: int) -> "Member":
        """Return this member with another beat."""
        if beat == self.beat:
            return self
        return attrs.evolve(self, beat=beat)

    @property
    def description(self) -> tuple[str, str, int, bool, str]:
        """All fields but the beat."""
        return (
            self.name,
            self.address,
            self.incarnation,
            self.leaving,
            self.zone,
        )


@attrs.frozen
class Digest:
    """The newest beats of some routers, in few bytes.

    Parameters
    ----------
    keys : sequence of int
        The routers' keys (see `digest_key`).
    beats : sequence of int
        Their newest beats, in the same order.
    """

    keys: Sequence[int] = attrs.field(default=(), converter=tuple)
    beats: Sequence[int] = attrs.field(default=(), converter=tuple)


#: A digest of no routers.
NO_DIGEST = Digest()


@functools.lru_cache(maxsize=2 * MAX_ROUTERS)
def digest_key(name: str, incarnation: int) -> int:
    """Return the 32-bit key of one start of a router in digests."""
    text = f"{name}/{incarnation}".encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=4).digest())


@attrs.define(eq=False)
class _Entry:
    """What is known of one router.

    Parameters
    ----------
    member : Member
        As last received in full; its beat may be out of date.
    key : int
        Key in digests.
    beat : int
        Newest beat.
    last_heard_s : float
        When the beat last rose.
    changed_s : float
        When any other field last changed.
    """

    member: Member
    key: int
    beat: int
    last_heard_s: float
    changed_s: float

    def current(self) -> Member:
        return self.member.with_beat(self.beat)

    def is_plausible(self, beat: int, now_s: float) -> bool:
        """Return whether the router can have reached this beat.

        If a beat far in the future were accepted from a peer, all later
        heartbeats of the router itself would seem old and the router would
        count as dead for ever.
        """
        elapsed_s = max(0.0, now_s - self.last_heard_s) + BEAT_SLACK_S
        return beat <= self.beat + MAX_BEATS_PER_S * elapsed_s


class RouterTable:
    """All known routers except this one.

    The set of live routers is recomputed when one joins, leaves or times
    out, not on each query: all periodic work begins by a query.

    Parameters
    ----------
    silent_s : float
        Seconds without a heartbeat after which a router counts as dead.

    Examples
    --------
    >>> table = RouterTable(silent_s=3.0)
    >>> table.record_heartbeat("r2", "10.0.0.2:8082", incarnation=7, now_s=0.0)
    >>> [member.name for member in table.live(now_s=2.0)]
    ['r2']
    >>> table.live(now_s=3.5)
    ()
    """

    def __init__(self, silent_s: float):
        self._silent_s = silent_s
        self._entries: dict[str, _Entry] = {}
        # None where two routers have the same key: digests cover neither.
        self._by_key: dict[int, _Entry | None] = {}
        self._reachable: tuple[_Entry, ...] = ()
        self._peers: tuple[Member, ...] = ()
        self._live: tuple[Member, ...] = ()
        self._valid_until_s = float("-inf")
        # Unknown keys received in digests, and since when.
        self._missing_since_s: dict[int, float] = {}
        self._own_key: int | None = None

    def set_own_identity(self, name: str, incarnation: int) -> None:
        """Set this router's own identity, which is never missing here."""
        self._own_key = digest_key(name, incarnation)

    def record_heartbeat(
        self,
        name: str,
        address: str,
        incarnation: int,
        now_s: float,
        *,
        beat: int = 0,
        leaving: bool = False,
        zone: str = "",
    ) -> None:
        """Record a heartbeat received from the router itself.

        It is accepted even if its incarnation is older than the known one:
        a replaced instance may have the same name and a clock that is
        behind.
        """
        self._store(
            Member(name, address, incarnation, beat, leaving, zone), now_s
        )

    def record_gossip(self, member: Member, now_s: float) -> bool:
        """Record a member gossiped by another; return if it is plausible.

        Only a newer beat or incarnation shows that the router is live.  If
        a repeated beat did, a dead router would stay live for as long as
        two others gossip it to each other.
        """
        entry = self._entries.get(member.name)
        if entry is None:
            if len(self._entries) >= MAX_ROUTERS:
                return False
            self._store(member, now_s)
            return True
        progress = (entry.member.incarnation, entry.beat)
        if member.progress <= progress:
            return True
        is_same_process = member.incarnation == entry.member.incarnation
        if is_same_process and not entry.is_plausible(member.beat, now_s):
            return False
        self._store(member, now_s)
        return True

    def record_digest(self, digest: Digest, now_s: float) -> bool:
        """Record the beats of a digest; return whether all are plausible.

        Unknown keys are noted, to be requested in full.
        """
        all_plausible = True
        for key, beat in zip(digest.keys, digest.beats, strict=True):
            entry = self._by_key.get(key)
            if entry is None:
                self._note_missing(key, now_s)
                continue
            if beat <= entry.beat:
                continue
            if entry.is_plausible(beat, now_s):
                self._store_beat(entry, beat, now_s)
            else:
                all_plausible = False
        return all_plausible

    def _note_missing(self, key: int, now_s: float) -> None:
        is_new = key not in self._by_key and key != self._own_key
        if is_new and len(self._missing_since_s) < MAX_ROUTERS:
            self._missing_since_s.setdefault(key, now_s)

    def missing_keys(self, max_count: int, now_s: float) -> tuple[int, ...]:
        """Return keys of routers that peers know and this one does not.

        A key is dropped after `silent_s`, as its router may have died
        before it became known here.
        """
        oldest_s = now_s - self._silent_s
        self._missing_since_s = {
            key: since_s
            for key, since_s in self._missing_since_s.items()
            if since_s >= oldest_s
        }
        return tuple(itertools.islice(self._missing_since_s, max_count))

    def members_by_key(
        self, keys: Iterable[int], now_s: float
    ) -> tuple[Member, ...]:
        """Return the reachable routers with these digest keys."""
        entries = filter(None, map(self._by_key.get, keys))
        return tuple(
            entry.current()
            for entry in entries
            if now_s - entry.last_heard_s <= self._silent_s
        )

    def digest(
        self, max_count: int, now_s: float, rng: random.Random
    ) -> Digest:
        """Return the newest beats of the reachable routers.

        Parameters
        ----------
        max_count : int
            Largest number of routers.  If there are more, a sample is
            taken, from those heard within `DIGEST_FRESH_S` if enough of
            them are: older beats have been gossiped already.
        now_s : float
            Monotonic time.
        rng : random.Random
            Source of the sample.
        """
        self._refresh(now_s)
        entries = self._reachable
        if len(entries) > max_count:
            fresh = [
                e for e in entries if now_s - e.last_heard_s <= DIGEST_FRESH_S
            ]
            entries = rng.sample(
                fresh if len(fresh) >= max_count else entries, max_count
            )
        return Digest(
            [entry.key for entry in entries],
            [entry.beat for entry in entries],
        )

    def members_to_gossip(
        self,
        max_count: int,
        sample_size: int,
        now_s: float,
        rng: random.Random,
    ) -> tuple[Member, ...]:
        """Return the members to gossip in full: new, changed and a sample.

        Parameters
        ----------
        max_count : int
            Largest number of members.
        sample_size : int
            Size of the sample of all members, for peers that missed an
            earlier announcement.
        now_s : float
            Monotonic time.
        rng : random.Random
            Source of the samples.
        """
        self._refresh(now_s)
        new = [
            e for e in self._reachable if now_s - e.changed_s <= NEW_MEMBER_S
        ]
        chosen = rng.sample(new, min(max_count, len(new)))
        room = min(sample_size, max_count - len(chosen), len(self._reachable))
        chosen += rng.sample(self._reachable, room)
        return tuple(entry.current() for entry in chosen)

    def live(self, now_s: float) -> tuple[Member, ...]:
        """Return the live routers that are not stopping, by name.

        The same tuple until one joins or leaves; beats may be out of date.
        """
        self._refresh(now_s)
        return self._live

    def peers(self, now_s: float) -> tuple[Member, ...]:
        """Return the live routers, including those that are stopping."""
        self._refresh(now_s)
        return self._peers

    def reachable(self, now_s: float) -> tuple[Member, ...]:
        """Return the members of `peers` with their newest beats."""
        self._refresh(now_s)
        return tuple(entry.current() for entry in self._reachable)

    def has_silent(self, now_s: float) -> bool:
        """Return whether a router fell silent that was not stopping."""
        if len(self.peers(now_s)) == len(self._entries):
            return False
        reachable = {entry.member.name for entry in self._reachable}
        return any(
            name not in reachable and not entry.member.leaving
            for name, entry in self._entries.items()
        )

    def knows(self, name: str) -> bool:
        """Return whether a router is remembered, live or dead."""
        return name in self._entries

    def peer_at(self, address: str, now_s: float) -> Member | None:
        """Return the live router at an address, if one is known."""
        return next(
            (peer for peer in self.peers(now_s) if peer.address == address),
            None,
        )

    def silence_s(self, name: str, now_s: float) -> float:
        """Return the seconds since a known router's beat last rose."""
        return now_s - self._entries[name].last_heard_s

    def live_count(self, now_s: float) -> int:
        """Return the number of live routers, this one included."""
        return 1 + len(self.live(now_s))

    def count_by_state(self, now_s: float) -> dict[str, int]:
        """Return how many other routers are live, stopping and silent."""
        live, reachable = len(self.live(now_s)), len(self.peers(now_s))
        silent = len(self._entries) - reachable
        return {"live": live, "stopping": reachable - live, "silent": silent}

    def _store(self, member: Member, now_s: float) -> None:
        entry = self._entries.get(member.name)
        if entry is not None and (
            entry.member.description == member.description
        ):
            self._store_beat(entry, member.beat, now_s)
            return
        if entry is not None:
            self._forget(member.name)
        key = digest_key(member.name, member.incarnation)
        entry = _Entry(member, key, member.beat, now_s, now_s)
        self._entries[member.name] = entry
        self._by_key[key] = None if key in self._by_key else entry
        self._missing_since_s.pop(key, None)
        self._valid_until_s = float("-inf")

    def _store_beat(self, entry: _Entry, beat: int, now_s: float) -> None:
        if now_s - entry.last_heard_s > self._silent_s:
            self._valid_until_s = float("-inf")
        entry.beat, entry.last_heard_s = beat, now_s

    def _refresh(self, now_s: float) -> None:
        """Recompute the live routers, unless they cannot have changed."""
        if now_s <= self._valid_until_s:
            return
        self._forget_expired(now_s)
        self._reachable = tuple(
            entry
            for _, entry in sorted(self._entries.items())
            if now_s - entry.last_heard_s <= self._silent_s
        )
        self._peers = tuple(entry.member for entry in self._reachable)
        self._live = tuple(peer for peer in self._peers if not peer.leaving)
        oldest_s = min(
            (e.last_heard_s for e in self._reachable), default=now_s
        )
        self._valid_until_s = oldest_s + self._silent_s

    def _forget_expired(self, now_s: float) -> None:
        oldest_s = now_s - FORGET_FACTOR * self._silent_s
        expired = [
            name
            for name, entry in self._entries.items()
            if entry.last_heard_s < oldest_s
        ]
        for name in expired:
            self._forget(name)

    def _forget(self, name: str) -> None:
        entry = self._entries.pop(name)
        del self._by_key[entry.key]
        colliding = [e for e in self._entries.values() if e.key == entry.key]
        if len(colliding) == 1:
            self._by_key[entry.key] = colliding[0]
        elif colliding:
            self._by_key[entry.key] = None
