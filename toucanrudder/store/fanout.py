"""Changes of a kind that few routers read and tell to all others.

In a large fleet each router's own watch would cost the store one call for
each change and router.  A few routers read; the others ask one of these,
by the store's own positions, so that any of them, and the store itself,
can go on where another has stopped.
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

#: Routers from which on changes are fanned out.  Below, readers and
#: followers would be almost the same.
FANOUT_MIN_ROUTERS = 12

#: Routers that read: one or two may be cut off from the store and one
#: may be stopping, while the rest still tell all others.
READERS = 6

#: How long a reader's own watch waits at the store.  It bounds how old a
#: reader's word can be without that showing.
READER_WAIT_S = 1.0

#: Age of a reader's last answer from the store beyond which its word is
#: not taken: its watch wait, and half a second for a slow answer.
MAX_AGE_S = 1.6

#: How long a question waits at a reader, and for its answer in all.
ASK_WAIT_S = 0.8
ASK_DEADLINE_S = 1.2

#: Pause between two looks at whether the routers are known.
SETTLE_LOOK_S = 0.1

#: For how long a reader that gave no good answer is not asked again.
SHUN_S = 3.0

#: Changes that are remembered; whoever is further behind asks the store.
MAX_CHANGES = 4096

#: Where a router is that has read nothing yet.
START = feed.Position(era=0, revision=0)


@attrs.frozen
class Reader:
    """A router that reads from the store."""

    name: str
    address: str


@attrs.frozen
class ReaderReply:
    """What a reader tells of a kind.

    Parameters
    ----------
    changes : feed.Changes or None
        What is new; None if the reader does not know that far back.
    age_s : float
        Time since the store last answered the reader.
    """

    changes: feed.Changes | None
    age_s: float


def uses_fanout(routers: int) -> bool:
    """Say whether so many routers fan changes out."""
    return routers >= FANOUT_MIN_ROUTERS


def select_readers(names: Iterable[str]) -> list[str]:
    """Return the routers that read from the store, of all that live.

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
    """The newest changes that this router has read of a kind.

    Attributes
    ----------
    last_answered_sent_s : float or None
        When the newest call was sent that the store answered; None if
        there is none yet.

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
        self._position = START
        self._changes: collections.deque[tuple[feed.Position, feed.Change]] = (
            collections.deque()
        )
        self._read_at_s = float("-inf")
        self._news = asyncio.Event()
        self.last_answered_sent_s: float | None = None

    def reset(self, found: feed.Snapshot, now_s: float) -> None:
        """Begin anew with a whole list."""
        self._changes.clear()
        self._first = found.position
        self._note(found.position, now_s)

    def append(
        self, position: feed.Position, found: feed.Changes, now_s: float
    ) -> None:
        """Take in what came after a position."""
        if self._first is None or self._position != position:
            self._changes.clear()
            self._first = position
        self._changes.extend((found.position, each) for each in found.changes)
        while len(self._changes) > MAX_CHANGES:
            self._first = self._changes.popleft()[0]
        self._note(found.position, now_s)

    def _note(self, position: feed.Position, now_s: float) -> None:
        is_news = position != self._position
        self._position, self._read_at_s = position, now_s
        if is_news:
            self._news.set()
            self._news = asyncio.Event()

    def age_s(self, now_s: float) -> float:
        """Return the time since the store has answered."""
        return now_s - self._read_at_s

    def changes_since(self, position: feed.Position) -> feed.Changes | None:
        """Return what came after the position; None if it is not known.

        A change counts as new until all that was read together with it is
        known: to take one in twice, in order, does no harm.
        """
        if self._first is None or position < self._first:
            return None
        if position.era != self._position.era:
            return None
        changes = tuple(
            change for upto, change in self._changes if upto > position
        )
        return feed.Changes(changes, max(position, self._position))

    async def wait(self, position: feed.Position, wait_s: float) -> None:
        """Wait until something after the position is known.

        A question from another era is not waited for: its answer is that
        all must be read anew.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                while self._position <= position and (
                    position.era == self._position.era
                    or self._position == START
                ):
                    await self._news.wait()


class FanoutFeed(feed.KindFeed):
    """A feed that asks the store, or a router that has asked it.

    Parameters
    ----------
    store : feed.KindFeed
        Where the objects are.
    log : ChangeLog
        What this router reads itself, for others.
    is_reader : callable
        Whether this router reads from the store.
    has_followers : callable
        Whether others ask this router instead of the store.
    choose_reader : callable
        Given the names of readers not to ask, returns another, or None.
    ask_reader : callable
        Asks a reader for the changes of a kind after a position, for as
        long as it is given; None if there was no answer.
    clock : callable
        Monotonic time in seconds.
    is_membership_known : callable
        Whether the routers are known, so that all agree on who reads.
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
        self._shunned_until_s: dict[str, float] = {}

    async def snapshot(self, kind: str, *, timeout_s: float) -> feed.Snapshot:
        """Return all objects of the kind."""
        sent_s = self._clock()
        found = await self._store.snapshot(kind, timeout_s=timeout_s)
        self._log.last_answered_sent_s = sent_s
        self._log.reset(found, self._clock())
        return found

    async def changes(
        self, kind: str, position: feed.Position, *, wait_s: float
    ) -> feed.Changes:
        """Wait for changes after the position; none if `wait_s` passed."""
        await self._settled()
        if not self._is_reader():
            told = await self._told(kind, position, min(wait_s, ASK_WAIT_S))
            if told is not None:
                return told
        if self._has_followers():
            wait_s = min(wait_s, READER_WAIT_S)
        sent_s = self._clock()
        found = await self._store.changes(kind, position, wait_s=wait_s)
        self._log.last_answered_sent_s = sent_s
        self._log.append(position, found, self._clock())
        return found

    async def _settled(self) -> None:
        while True:
            if self._is_membership_known():
                return
            await asyncio.sleep(SETTLE_LOOK_S)

    async def _told(
        self, kind: str, position: feed.Position, wait_s: float
    ) -> feed.Changes | None:
        """Return what a reader tells; None if the store is to be asked."""
        now_s = self._clock()
        self._shunned_until_s = {
            name: until_s
            for name, until_s in self._shunned_until_s.items()
            if until_s > now_s
        }
        reader = self._choose_reader(set(self._shunned_until_s))
        if reader is None:
            return None
        told = await self._ask_reader(reader, kind, position, wait_s)
        is_good = told is not None and told.age_s <= MAX_AGE_S
        if not is_good or told.changes is None:
            self._shunned_until_s[reader.name] = self._clock() + SHUN_S
            return None
        return told.changes
