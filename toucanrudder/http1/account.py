"""Account of the memory and connections that callers occupy.

A client may send bodies without end, stop short of the end of many, or read
none of its answers.  The account bounds the sum of what all connections of a
process hold, and gives up the least useful ones once that is too much.
"""

import asyncio
import collections
from collections.abc import AsyncIterator
from collections.abc import Callable
from collections.abc import Hashable
from collections.abc import Iterator
from collections.abc import Mapping
import contextlib
import functools
from typing import Protocol

import attrs

from toucanrudder.http1 import receive_buffers

#: Memory of a connection beside the bytes that it holds, and of a request
#: that is handled: its tasks, its log line, its connection to an upstream.
CONNECTION_BYTES = 8_192
REQUEST_BYTES = 32_768

#: Memory that a router needs for itself, and the share of the rest that
#: callers may occupy.
OWN_BYTES = 96_000_000
REST_SHARE = 1 / 2

#: Share of the instance's memory that they may occupy in any case.
MEMORY_SHARE = 1 / 8

#: What may wait unread in sockets, as a share of what callers may occupy.
UNREAD_SHARE = 1 / 4

#: Share of the descriptors that callers' connections may take.  Each request
#: under way needs another one for its upstream.
DESCRIPTOR_SHARE = 0.45

#: Share of the memory that the requests under way of one group may occupy if
#: no other group holds any, and the same for large requests.  The more the
#: other groups hold, the less it is, so that all of them find room.
GROUP_SHARE = 7 / 8
LARGE_SHARE = 3 / 4

#: Share of the memory for answers that are read before they are passed on.
ANSWER_SHARE = 1 / 4

#: Longest answer that needs no room of its own.
SMALL_ANSWER_BYTES = 16_384

#: Largest body of a request that counts as small, and what the request holds.
SMALL_BODY_BYTES = 65_536
SMALL_REQUEST_BYTES = SMALL_BODY_BYTES + CONNECTION_BYTES + REQUEST_BYTES

#: Share of the memory that remains in use once room has been made, so that
#: the holders are not compared anew for each byte.
LOW_WATER_SHARE = 7 / 8


@attrs.frozen
class Bounds:
    """What the connections of callers may occupy together.

    Parameters
    ----------
    memory_bytes : int
        Memory.
    connections : int
        Number of open connections.
    """

    memory_bytes: int
    connections: int

    @property
    def unread_bytes(self) -> int:
        """What may wait unread in sockets beside that memory."""
        return int(self.memory_bytes * UNREAD_SHARE)


@functools.lru_cache(maxsize=16)
def bounds_for(
    memory_bytes: int, max_descriptors: int, max_body_bytes: int
) -> Bounds:
    """Return the bounds for an instance.

    The largest body that a caller may send has room in any case.

    Parameters
    ----------
    memory_bytes : int
        Memory of the instance.
    max_descriptors : int
        Descriptors that the process may have open.
    max_body_bytes : int
        Largest body of a request.

    Examples
    --------
    >>> bounds_for(128_000_000, 4_000, 1_000_000)
    Bounds(memory_bytes=16000000, connections=1800)
    >>> bounds_for(300_000_000, 4_000, 1_000_000).memory_bytes
    102000000
    >>> bounds_for(8_000_000, 100, 1_000_000).memory_bytes
    1551786
    """
    body_bytes = (
        max_body_bytes
        + SMALL_BODY_BYTES
        + 4 * CONNECTION_BYTES
        + 2 * REQUEST_BYTES
    )
    return Bounds(
        max(
            int((memory_bytes - OWN_BYTES) * REST_SHARE),
            int(memory_bytes * MEMORY_SHARE),
            int(body_bytes / LARGE_SHARE),
        ),
        max(1, int(max_descriptors * DESCRIPTOR_SHARE)),
    )


@attrs.frozen
class Usage:
    """What one connection holds.

    Parameters
    ----------
    held_bytes : int
        Memory that it occupies.
    since_s : float
        Monotonic time in seconds at which it began to wait for its client.
    is_revocable : bool
        Whether it may be given up: no request of it is under way that
        an upstream may run, or its client does not read the answer.
    is_under_way : bool
        Whether a whole request of it is being answered.
    """

    held_bytes: int
    since_s: float = 0.0
    is_revocable: bool = False
    is_under_way: bool = False


@attrs.frozen
class Need:
    """What a whole request needs to get under way.

    Parameters
    ----------
    held_bytes : int
        Memory that it will hold.
    passing_bytes : int
        Memory that it needs beside for a moment.
    """

    held_bytes: int
    passing_bytes: int = 0


class Holder(Protocol):
    """A connection that holds memory."""

    def usage(self) -> Usage:
        """Return what it holds now."""

    def group(self) -> Hashable:
        """Return what the requests have in common that share their room."""

    def give_up(self, *, lingers: bool) -> None:
        """Refuse its request, or close it; drop what it holds.

        Parameters
        ----------
        lingers : bool
            Whether it may stay open until its client has read the refusal.
        """


def revoked_for_memory(
    usages: Mapping[Holder, Usage], excess_bytes: int
) -> list[Holder]:
    """Return the holders to give up until enough memory is free.

    The largest go first, so that few lose their requests, and among those of
    similar size the one that has waited for its client longest: bodies that
    stop short of their end are older than those that still arrive.

    Parameters
    ----------
    usages : mapping of Holder to Usage
        What each holds.
    excess_bytes : int
        Memory to be freed.

    Examples
    --------
    >>> usages = {
    ...     "large": Usage(900, 5.0, True), "late": Usage(40, 9.0, True),
    ...     "early": Usage(40, 1.0, True), "runs": Usage(999, 0.0)}
    >>> revoked_for_memory(usages, 920)
    ['large', 'early']
    """
    revocable = [
        holder for holder, usage in usages.items() if usage.is_revocable
    ]
    revocable.sort(
        key=lambda holder: (
            -usages[holder].held_bytes.bit_length(),
            usages[holder].since_s,
        )
    )
    revoked = []
    for holder in revocable:
        if excess_bytes <= 0:
            break
        excess_bytes -= usages[holder].held_bytes
        revoked.append(holder)
    return revoked


def revoked_for_connection(usages: Mapping[Holder, Usage]) -> Holder | None:
    """Return the holder whose connection is closed for a new one.

    Examples
    --------
    >>> revoked_for_connection({
    ...     "runs": Usage(9), "idle": Usage(9, 4.0, True),
    ...     "longer idle": Usage(9, 2.0, True)})
    'longer idle'
    """
    revocable = [
        holder for holder, usage in usages.items() if usage.is_revocable
    ]
    return min(
        revocable, key=lambda holder: usages[holder].since_s, default=None
    )


def admits(
    needed_bytes: int, group_bytes: int, under_way_bytes: int, limit: int
) -> bool:
    """Return whether a whole request may get under way.

    A group may hold a multiple of what is left free (a dynamic threshold):
    its share shrinks as others need room, and there is room for a group that
    holds little however much the others ask for.

    Parameters
    ----------
    needed_bytes : int
        Memory of the request.
    group_bytes, under_way_bytes : int
        What the requests under way hold: those of its group, and all.
    limit : int
        Memory that all may hold.

    Examples
    --------
    >>> admits(500_000, 600_000, 600_000, 1_000_000)
    False
    >>> admits(9_000, 870_000, 870_000, 1_000_000)
    False
    >>> admits(9_000, 0, 870_000, 1_000_000)
    True
    """
    is_large = needed_bytes > SMALL_REQUEST_BYTES
    share = LARGE_SHARE if is_large else GROUP_SHARE
    free_bytes = limit - under_way_bytes - needed_bytes
    if free_bytes < 0:
        return False
    return (group_bytes + needed_bytes) * (1 - share) <= free_bytes * share


@attrs.frozen(eq=False)
class _Waiter:
    """An answer that waits for room."""

    size_bytes: int
    admitted: asyncio.Future


class Account:
    """Keeps the sum of what all connections of callers hold within bounds.

    Parameters
    ----------
    bounds : callable
        Returns the bounds in force.
    free_bytes : callable
        Returns the memory that the instance has left, for a request that
        needs more than its share and comes alone.

    Attributes
    ----------
    receive_buffers : receive_buffers.ReceiveBuffers
        Bounds what waits in the sockets of the connections.
    """

    def __init__(
        self,
        bounds: Callable[[], Bounds],
        free_bytes: Callable[[], int] = lambda: 0,
    ):
        self._bounds = bounds
        self._free_bytes = free_bytes
        self.receive_buffers = receive_buffers.ReceiveBuffers(
            lambda: self._bounds().unread_bytes
        )
        self._usages: dict[Holder, Usage] = {}
        self._held_bytes = 0
        self._reserved_bytes = 0
        self._unavailable_bytes = 0
        self._answer_bytes = 0
        self._waiting: collections.deque[_Waiter] = collections.deque()

    @property
    def held_bytes(self) -> int:
        """Memory that is held, as far as it is known."""
        return self._held_bytes + self._reserved_bytes

    @property
    def connections(self) -> int:
        """Number of holders."""
        return len(self._usages)

    def memory_bytes(self) -> dict[str, int]:
        """Return the memory that is held, and the bound."""
        return {
            "held": self.held_bytes,
            "bound": self._bounds().memory_bytes,
        }

    def connection_counts(self) -> dict[str, int]:
        """Return the number of connections, and the bound."""
        return {
            "open": self.connections,
            "bound": self._bounds().connections,
        }

    def add(self, holder: Holder) -> None:
        """Count a new connection; close another if there are too many."""
        self._usages[holder] = Usage(0)
        self.update(holder)
        if len(self._usages) > self._bounds().connections:
            self._refresh()
            revoked = revoked_for_connection(self._usages)
            if revoked is not None:
                self._give_up(revoked, lingers=False)

    def update(self, holder: Holder) -> None:
        """Count what a connection holds by now, and make room if needed."""
        if holder not in self._usages:
            return
        self._set(holder, holder.usage())
        self._make_room()

    def _make_room(self) -> None:
        limit = self._bounds().memory_bytes
        if self.held_bytes <= limit:
            self._unavailable_bytes = 0
        if self.held_bytes <= limit + self._unavailable_bytes:
            return
        self._refresh()
        self._unavailable_bytes = 0
        if self.held_bytes <= limit:
            return
        excess_bytes = self.held_bytes - int(limit * LOW_WATER_SHARE)
        for revoked in revoked_for_memory(self._usages, excess_bytes):
            self._give_up(revoked, lingers=True)
        if self.held_bytes > limit:
            # Requests under way hold too much.  The holders are compared
            # anew once they hold noticeably more, not with each byte.
            step_bytes = int(limit * (1 - LOW_WATER_SHARE))
            self._unavailable_bytes = self.held_bytes - limit + step_bytes

    def remove(self, holder: Holder) -> None:
        """Count a connection no more."""
        usage = self._usages.pop(holder, None)
        if usage is not None:
            self._held_bytes -= usage.held_bytes

    def admits(self, holder: Holder, need: Need) -> bool:
        """Return whether a connection's whole request may get under way.

        One that needs more than any share gets under way alone, if the
        instance has as much left.
        """
        limit = self._bounds().memory_bytes - self._reserved_bytes
        if self._held_bytes + need.held_bytes <= limit * LARGE_SHARE:
            return True
        group = holder.group()
        group_bytes = under_way_bytes = 0
        for other, usage in self._usages.items():
            if other is holder or not usage.is_under_way:
                continue
            under_way_bytes += usage.held_bytes
            if other.group() == group:
                group_bytes += usage.held_bytes
        if admits(need.held_bytes, group_bytes, under_way_bytes, limit):
            return True
        is_alone = under_way_bytes <= limit * (1 - GROUP_SHARE)
        if not is_alone or need.held_bytes <= limit * LARGE_SHARE:
            return False
        return need.held_bytes + need.passing_bytes <= self._free_bytes()

    def has_room(self, size_bytes: int) -> bool:
        """Return whether memory beside that of connections may be used."""
        limit = self._bounds().memory_bytes * LARGE_SHARE
        return self.held_bytes + size_bytes <= limit

    @contextlib.contextmanager
    def reserved(self, size_bytes: int) -> Iterator[None]:
        """Count memory that is held for callers beside connections."""
        self._reserved_bytes += size_bytes
        try:
            self._make_room()
            yield
        finally:
            self._reserved_bytes -= size_bytes

    @contextlib.asynccontextmanager
    async def answer_room(self, size_bytes: int) -> AsyncIterator[None]:
        """Wait for room for an answer, and hold it during the block.

        An answer that is larger than all room waits until no other is read.
        Small ones do not wait.
        """
        if size_bytes <= SMALL_ANSWER_BYTES:
            yield
            return
        if self._waiting or not self._fits(size_bytes):
            await self._wait(size_bytes)
        else:
            self._answer_bytes += size_bytes
        try:
            with self.reserved(size_bytes):
                yield
        finally:
            self._answer_bytes -= size_bytes
            self._admit_answers()

    def _fits(self, size_bytes: int) -> bool:
        limit = self._bounds().memory_bytes * ANSWER_SHARE
        return not self._answer_bytes or (
            self._answer_bytes + size_bytes <= limit
        )

    async def _wait(self, size_bytes: int) -> None:
        admitted = asyncio.get_running_loop().create_future()
        waiter = _Waiter(size_bytes, admitted)
        self._waiting.append(waiter)
        try:
            await admitted
        except asyncio.CancelledError:
            if admitted.done() and not admitted.cancelled():
                self._answer_bytes -= size_bytes
            else:
                self._waiting.remove(waiter)
            self._admit_answers()
            raise

    def _admit_answers(self) -> None:
        while self._waiting and self._fits(self._waiting[0].size_bytes):
            waiter = self._waiting.popleft()
            self._answer_bytes += waiter.size_bytes
            waiter.admitted.set_result(None)

    def _set(self, holder: Holder, usage: Usage) -> None:
        self._held_bytes += usage.held_bytes - self._usages[holder].held_bytes
        self._usages[holder] = usage

    def _refresh(self) -> None:
        for holder in self._usages:
            self._set(holder, holder.usage())

    def _give_up(self, holder: Holder, *, lingers: bool) -> None:
        holder.give_up(lingers=lingers)
        if holder in self._usages:
            self._set(holder, holder.usage())


def unbounded() -> Account:
    """Return an account without bounds."""
    bounds = Bounds(2**62, 2**31)
    return Account(lambda: bounds)
