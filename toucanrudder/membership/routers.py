"""Which routers are live, worked out from heartbeats.  No I/O.

A router's heartbeats carry its incarnation (the wall clock at its start,
in milliseconds) and a beat that rises by one.  Routers pass on what they
know of others, so each needs to hear only a few of them itself: those that
came or changed as a whole, of all others how far they have come.
"""

from collections.abc import Iterable
from collections.abc import Sequence
import functools
import hashlib
import itertools
import random

import attrs

#: Silences after which a dead router is forgotten.  Its last beat must be
#: remembered until no router passes it on any more; else two routers
#: would keep telling each other that it has just been heard.
FORGET_SILENCES = 20

#: Routers remembered, live or dead: a peer's fault must not fill this
#: router's memory.
MAX_ROUTERS = 2_048

#: Age up to which progress is news to most others.
FRESH_S = 1.0

#: Time for which a router that came or changed is told whole.
NEWS_S = 5.0

#: Most beats of a router in a second, and the time of what may have been
#: sent before the last one was heard of.
MAX_BEATS_PER_S = 1_000
SLACK_S = 1.0


@attrs.frozen
class Member:
    """A router as it is told of.

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
    """

    name: str
    address: str
    incarnation: int
    beat: int = 0
    leaving: bool = False

    @property
    def progress(self) -> tuple[int, int]:
        """What only the router itself can make rise."""
        return (self.incarnation, self.beat)

    def with_beat(self, beat: int) -> "Member":
        """Return the same with another beat."""
        if beat == self.beat:
            return self
        return attrs.evolve(self, beat=beat)

    @property
    def description(self) -> tuple[str, str, int, bool]:
        """All but the beat."""
        return self.name, self.address, self.incarnation, self.leaving


@attrs.frozen
class Digest:
    """How far some routers have come, in few bytes.

    Parameters
    ----------
    keys : sequence of int
        Their keys (see `key_of`).
    beats : sequence of int
        Their newest beats, in the same order.
    """

    keys: Sequence[int] = attrs.field(default=(), converter=tuple)
    beats: Sequence[int] = attrs.field(default=(), converter=tuple)


#: A digest of no routers.
NO_DIGEST = Digest()


@functools.lru_cache(maxsize=2 * MAX_ROUTERS)
def key_of(name: str, incarnation: int) -> int:
    """Return what names one start of a router in a digest, of 32 bits."""
    text = f"{name}/{incarnation}".encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=4).digest())


@attrs.define(eq=False)
class _Known:
    """What is known of one router.

    Parameters
    ----------
    member : Member
        As it was last told whole; its beat may be behind.
    key : int
        In digests.
    beat : int
        The newest.
    heard_s : float
        When it last rose.
    changed_s : float
        When the rest last changed.
    """

    member: Member
    key: int
    beat: int
    heard_s: float
    changed_s: float

    def current(self) -> Member:
        return self.member.with_beat(self.beat)

    def may_have(self, beat: int, now_s: float) -> bool:
        """Whether the router can have come so far.

        Failure: a peer tells of a beat that is far ahead.  Symptom: all
        that the router says of itself seems old, and it counts as dead
        for ever.
        """
        since_s = max(0.0, now_s - self.heard_s) + SLACK_S
        return beat <= self.beat + MAX_BEATS_PER_S * since_s


class RouterTable:
    """Routers heard of, without this one.

    The routers that are live are worked out when one comes, goes or falls
    silent, not at each question: all periodic work begins by asking.

    Parameters
    ----------
    silent_s : float
        Silence after which a router counts as gone.

    Examples
    --------
    >>> table = RouterTable(silent_s=3.0)
    >>> table.heard("r2", "10.0.0.2:8082", incarnation=7, now_s=0.0)
    >>> [member.name for member in table.live(now_s=2.0)]
    ['r2']
    >>> table.live(now_s=3.5)
    ()
    """

    def __init__(self, silent_s: float):
        self._silent_s = silent_s
        self._known: dict[str, _Known] = {}
        # None where two have the same key: a digest tells of neither.
        self._by_key: dict[int, _Known | None] = {}
        self._reached: tuple[_Known, ...] = ()
        self._peers: tuple[Member, ...] = ()
        self._live: tuple[Member, ...] = ()
        self._valid_until_s = float("-inf")
        # Keys in digests of routers that are not known, and since when.
        self._wanted_s: dict[int, float] = {}
        self._own_key: int | None = None

    def is_kept_by(self, name: str, incarnation: int) -> None:
        """Note whose table this is: it wants no word of itself."""
        self._own_key = key_of(name, incarnation)

    def heard(
        self,
        name: str,
        address: str,
        incarnation: int,
        now_s: float,
        *,
        beat: int = 0,
        leaving: bool = False,
    ) -> None:
        """Note a heartbeat from the router itself.

        It is taken whatever it says: a replaced instance may have the
        same name and a clock that is behind.
        """
        self._put(Member(name, address, incarnation, beat, leaving), now_s)

    def told(self, member: Member, now_s: float) -> bool:
        """Note what another router passed on; say whether it can be true.

        Only progress counts as life.  The same beat told again proves
        nothing, or a dead router would live for as long as two others
        tell each other of it.
        """
        known = self._known.get(member.name)
        if known is None:
            if len(self._known) >= MAX_ROUTERS:
                return False
            self._put(member, now_s)
            return True
        progress = (known.member.incarnation, known.beat)
        if member.progress <= progress:
            return True
        is_same = member.incarnation == known.member.incarnation
        if is_same and not known.may_have(member.beat, now_s):
            return False
        self._put(member, now_s)
        return True

    def told_digest(self, digest: Digest, now_s: float) -> bool:
        """Note the progress in a digest; say whether all can be true.

        Routers that are not known here are wanted whole.
        """
        is_good = True
        for key, beat in zip(digest.keys, digest.beats, strict=True):
            known = self._by_key.get(key)
            if known is None:
                self._want(key, now_s)
                continue
            if beat <= known.beat:
                continue
            if known.may_have(beat, now_s):
                self._note(known, beat, now_s)
            else:
                is_good = False
        return is_good

    def _want(self, key: int, now_s: float) -> None:
        is_new = key not in self._by_key and key != self._own_key
        if is_new and len(self._wanted_s) < MAX_ROUTERS:
            self._wanted_s.setdefault(key, now_s)

    def wanted(self, most: int, now_s: float) -> tuple[int, ...]:
        """Return keys of routers that others know and this one does not.

        A router that is gone before it was known is not wanted for ever.
        """
        oldest_s = now_s - self._silent_s
        self._wanted_s = {
            key: since_s
            for key, since_s in self._wanted_s.items()
            if since_s >= oldest_s
        }
        return tuple(itertools.islice(self._wanted_s, most))

    def whole(self, keys: Iterable[int], now_s: float) -> tuple[Member, ...]:
        """Return those of the routers with these keys that are reachable."""
        found = filter(None, map(self._by_key.get, keys))
        return tuple(
            known.current()
            for known in found
            if now_s - known.heard_s <= self._silent_s
        )

    def digest(self, most: int, now_s: float, rng: random.Random) -> Digest:
        """Return how far the routers have come that were heard of lately.

        Parameters
        ----------
        most : int
            Of more routers, as many are drawn, of those heard of within
            `FRESH_S`: what is older, others have told already.
        now_s : float
            Monotonic time.
        rng : random.Random
            Draws.
        """
        self._refresh(now_s)
        told = self._reached
        if len(told) > most:
            fresh = [k for k in told if now_s - k.heard_s <= FRESH_S]
            told = rng.sample(fresh if len(fresh) >= most else told, most)
        return Digest(
            [known.key for known in told], [known.beat for known in told]
        )

    def news(
        self, most: int, others: int, now_s: float, rng: random.Random
    ) -> tuple[Member, ...]:
        """Return routers to be told whole: those that came or changed.

        Parameters
        ----------
        most : int
            Of those.
        others : int
            Drawn from the rest, for who has not heard of them in time.
        now_s : float
            Monotonic time.
        rng : random.Random
            Draws.
        """
        self._refresh(now_s)
        new = [k for k in self._reached if now_s - k.changed_s <= NEWS_S]
        told = rng.sample(new, min(most, len(new)))
        room = min(others, most - len(told), len(self._reached))
        told += rng.sample(self._reached, room)
        return tuple(known.current() for known in told)

    def live(self, now_s: float) -> tuple[Member, ...]:
        """Return the routers that are live and stay, by name.

        The same tuple until one comes or goes; their beats may be behind.
        """
        self._refresh(now_s)
        return self._live

    def peers(self, now_s: float) -> tuple[Member, ...]:
        """Return the same with those that are stopping."""
        self._refresh(now_s)
        return self._peers

    def reachable(self, now_s: float) -> tuple[Member, ...]:
        """Return the same as `peers`, with their newest beats."""
        self._refresh(now_s)
        return tuple(known.current() for known in self._reached)

    def silence_s(self, name: str, now_s: float) -> float:
        """Return the seconds since a known router was last heard of."""
        return now_s - self._known[name].heard_s

    def count(self, now_s: float) -> int:
        """Return the live routers, this one included, for shared limits."""
        return 1 + len(self.live(now_s))

    def numbers(self, now_s: float) -> dict[str, int]:
        """Return how many others are live, are stopping, and are silent."""
        live, reached = len(self.live(now_s)), len(self.peers(now_s))
        silent = len(self._known) - reached
        return {"live": live, "stopping": reached - live, "silent": silent}

    def _put(self, member: Member, now_s: float) -> None:
        known = self._known.get(member.name)
        if known is not None and (
            known.member.description == member.description
        ):
            self._note(known, member.beat, now_s)
            return
        if known is not None:
            self._forget(member.name)
        key = key_of(member.name, member.incarnation)
        known = _Known(member, key, member.beat, now_s, now_s)
        self._known[member.name] = known
        self._by_key[key] = None if key in self._by_key else known
        self._wanted_s.pop(key, None)
        self._valid_until_s = float("-inf")

    def _note(self, known: _Known, beat: int, now_s: float) -> None:
        if now_s - known.heard_s > self._silent_s:
            self._valid_until_s = float("-inf")
        known.beat, known.heard_s = beat, now_s

    def _refresh(self, now_s: float) -> None:
        """Work out who is live, unless nobody can have come or gone."""
        if now_s <= self._valid_until_s:
            return
        self._forget_old(now_s)
        self._reached = tuple(
            known
            for _, known in sorted(self._known.items())
            if now_s - known.heard_s <= self._silent_s
        )
        self._peers = tuple(known.member for known in self._reached)
        self._live = tuple(each for each in self._peers if not each.leaving)
        oldest_s = min((k.heard_s for k in self._reached), default=now_s)
        self._valid_until_s = oldest_s + self._silent_s

    def _forget_old(self, now_s: float) -> None:
        oldest_s = now_s - FORGET_SILENCES * self._silent_s
        gone = [
            name
            for name, known in self._known.items()
            if known.heard_s < oldest_s
        ]
        for name in gone:
            self._forget(name)

    def _forget(self, name: str) -> None:
        known = self._known.pop(name)
        del self._by_key[known.key]
        twins = [k for k in self._known.values() if k.key == known.key]
        if len(twins) == 1:
            self._by_key[known.key] = twins[0]
        elif twins:
            self._by_key[known.key] = None
