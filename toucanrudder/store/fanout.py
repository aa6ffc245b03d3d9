"""Fan-out of changes from a few routers that read the store to all others.

In a large fleet a watch by each router would cost the store one call per
change and router.  A few routers, the readers, watch the store; the others,
the followers, ask one of them.  They use the store's own positions, so that
a follower can continue at any other reader, or at the store.
"""

import asyncio
import collections
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
import contextlib
import functools

import attrs

from toucanrudder.placement import rendezvous
from toucanrudder.store import feed

#: Number of routers from which on changes are fanned out.  In smaller fleets
#: there would be hardly more followers than readers.
FANOUT_MIN_ROUTERS = 12

#: Number of readers: one or two may be cut off from the store and one may be
#: stopping, while the rest still serve all followers.
READERS = 6

#: Longest wait of a reader's own watch at the store, in seconds.  It bounds
#: how stale a reader can become unnoticed.
READER_WAIT_S = 1.0

#: Age of a reader's last response from the store beyond which its reply is
#: rejected: its watch wait, and half a second for a slow response.
MAX_AGE_S = 1.6

#: Longest wait of a follower's request at a reader, and deadline of the reply.
ASK_WAIT_S = 0.8
ASK_DEADLINE_S = 1.2

#: Interval between two checks whether the membership is known.
MEMBERSHIP_POLL_S = 0.1

#: Seconds for which a reader is not asked again after an unusable reply.
READER_BACKOFF_S = 3.0

#: Number of changes kept; a follower that is further behind asks the store.
MAX_CHANGES = 4096

#: Position of a router that has not read anything yet.
INITIAL_POSITION = feed.Position(era=0, revision=0)


@attrs.frozen
class Reader:
    """Router that reads from the store."""

    name: str
    address: str


@attrs.frozen
class ReaderReply:
    """Reply of a reader about one kind of objects.

    Parameters
    ----------
    changes : feed.Changes or None
        New changes; None if the reader's log does not reach back far enough.
    age_s : float
        Seconds since the store last answered the reader.
    """

    changes: feed.Changes | None
    age_s: float


def uses_fanout(routers: int) -> bool:
    """Return whether a fleet of this size fans changes out."""
    return routers >= FANOUT_MIN_ROUTERS


def select_readers(names: Iterable[str]) -> list[str]:
    """Return those of the live routers that read from the store.

    Examples
    --------
    >>> len(select_readers(f"r{n}" for n in range(82)))
    6
    """
    return list(_ranked(frozenset(names))[:READERS])


@functools.lru_cache(maxsize=16)
def _ranked(names: frozenset[str]) -> tuple[str, ...]:
    return tuple(rendezvous.ranked(b"readers", names))


class ChangeLog:
    """Newest changes of one kind that this router has read.

    Attributes
    ----------
    last_answered_sent_s : float or None
        Monotonic time at which the newest call that the store answered was
        sent; None if there is none yet.

    Examples
    --------
    >>> log = ChangeLog()
    >>> at = functools.partial(feed.Position, 1)
    >>> log.changes_since(at(3)) is None
    True
    >>> log.append(at(3), feed.Changes((), at(5)), now_s=1.0)
    >>> log.changes_since(at(4)).position, log.changes_since(at(2))
    (Position(era=1, revision=5), None)
    """

    def __init__(self):
        self._first: feed.Position | None = None
        self._position = INITIAL_POSITION
        self._changes: collections.deque[tuple[feed.Position, feed.Change]] = (
            collections.deque()
        )
        self._read_at_s = float("-inf")
        self._moved = asyncio.Event()
        self.last_answered_sent_s: float | None = None

    def reset(self, snapshot: feed.Snapshot, now_s: float) -> None:
        """Start anew from a snapshot."""
        self._changes.clear()
        self._first = snapshot.position
        self._advance(snapshot.position, now_s)

    def append(
        self, position: feed.Position, read: feed.Changes, now_s: float
    ) -> None:
        """Add the changes that were read after a position."""
        if self._first is None or self._position != position:
            self._changes.clear()
            self._first = position
        self._changes.extend((read.position, each) for each in read.changes)
        while len(self._changes) > MAX_CHANGES:
            self._first = self._changes.popleft()[0]
        self._advance(read.position, now_s)

    def _advance(self, position: feed.Position, now_s: float) -> None:
        has_moved = position != self._position
        self._position, self._read_at_s = position, now_s
        if has_moved:
            self._moved.set()
            self._moved = asyncio.Event()

    def age_s(self, now_s: float) -> float:
        """Return the seconds since the store last answered."""
        return now_s - self._read_at_s

    def changes_since(self, position: feed.Position) -> feed.Changes | None:
        """Return the changes after the position; None if they are unknown.

        All changes of one read carry its final position, so a follower in
        the middle of them gets some again.  Applying changes twice, in
        order, does no harm.
        """
        if self._first is None or position < self._first:
            return None
        if position.era != self._position.era:
            return None
        changes = tuple(
            change for read_to, change in self._changes if read_to > position
        )
        return feed.Changes(changes, max(position, self._position))

    async def wait(self, position: feed.Position, wait_s: float) -> None:
        """Wait until a change after the position is known.

        A request from another era does not wait: its reply is that the
        follower needs a new snapshot.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                while self._position <= position and (
                    position.era == self._position.era
                    or self._position == INITIAL_POSITION
                ):
                    await self._moved.wait()


class FanoutFeed(feed.KindFeed):
    """Feed that reads from the store, or from a router that reads from it.

    Parameters
    ----------
    store : feed.KindFeed
        Store of the objects.
    log : ChangeLog
        Log of what this router reads itself, for its followers.
    is_reader : callable
        Returns whether this router reads from the store.
    has_followers : callable
        Returns whether others ask this router instead of the store.
    choose_reader : callable
        Takes the names of readers not to ask; returns a reader, or None.
    ask_reader : callable
        Takes a reader, a kind, a position and the longest wait in seconds;
        returns the reader's reply, or None if there was none.
    clock : callable
        Monotonic time in seconds.
    is_membership_known : callable
        Returns whether the fleet's members are known, so that all routers
        agree on the readers.
    """

    def __init__(
        self,
        store: feed.KindFeed,
        log: ChangeLog,
        *,
        is_reader: Callable[[], bool],
        has_followers: Callable[[], bool],
        choose_reader: Callable[[set[str]], Reader | None],
        ask_reader: Callable[
            [Reader, str, feed.Position, float], Awaitable[ReaderReply | None]
        ],
        clock: Callable[[], float],
        is_membership_known: Callable[[], bool] = lambda: True,
    ):
        self._is_membership_known = is_membership_known
        self._store = store
        self._log = log
        self._is_reader = is_reader
        self._has_followers = has_followers
        self._choose_reader = choose_reader
        self._ask_reader = ask_reader
        self._clock = clock
        self._backoff_until_s: dict[str, float] = {}

    async def snapshot(self, kind: str, *, timeout_s: float) -> feed.Snapshot:
        """Return all objects of the kind."""
        sent_s = self._clock()
        snapshot = await self._store.snapshot(kind, timeout_s=timeout_s)
        self._log.last_answered_sent_s = sent_s
        self._log.reset(snapshot, self._clock())
        return snapshot

    async def changes(
        self, kind: str, position: feed.Position, *, wait_s: float
    ) -> feed.Changes:
        """Wait for changes after the position; none after `wait_s` seconds."""
        await self._wait_for_membership()
        if not self._is_reader():
            changes = await self._changes_from_reader(
                kind, position, min(wait_s, ASK_WAIT_S)
            )
            if changes is not None:
                return changes
        if self._has_followers():
            wait_s = min(wait_s, READER_WAIT_S)
        sent_s = self._clock()
        read = await self._store.changes(kind, position, wait_s=wait_s)
        self._log.last_answered_sent_s = sent_s
        self._log.append(position, read, self._clock())
        return read

    async def _wait_for_membership(self) -> None:
        while True:
            if self._is_membership_known():
                return
            await asyncio.sleep(MEMBERSHIP_POLL_S)

    async def _changes_from_reader(
        self, kind: str, position: feed.Position, wait_s: float
    ) -> feed.Changes | None:
        """Return a reader's changes; None if the store must be asked."""
        now_s = self._clock()
        self._backoff_until_s = {
            name: until_s
            for name, until_s in self._backoff_until_s.items()
            if until_s > now_s
        }
        reader = self._choose_reader(set(self._backoff_until_s))
        if reader is None:
            return None
        reply = await self._ask_reader(reader, kind, position, wait_s)
        is_fresh = reply is not None and reply.age_s <= MAX_AGE_S
        if not is_fresh or reply.changes is None:
            self._backoff_until_s[reader.name] = (
                self._clock() + READER_BACKOFF_S
            )
            return None
        return reply.changes
