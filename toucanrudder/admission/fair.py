"""Fair queueing of waiting requests.  No I/O."""

import collections
from collections.abc import Iterator
import heapq
import itertools

import attrs
import sortedcontainers

#: Requests added to the service of a lane, when lanes are ordered, for each
#: step of lower priority of its next request.
CLASS_LEAD = 16.0
#: Seconds of waiting that outweigh one step of priority within a lane.
AGEING_S = 5.0


@attrs.define(eq=False)
class Entry:
    """A waiting request.

    Parameters
    ----------
    organisation : str
        Organisation that sent the request.
    weight : float
        The organisation's share relative to others.
    priority : int
        Priority class or rank; the smaller goes first.
    deadline_s : float
        Monotonic time after which serving it is useless.
    arrived_s : float
        Monotonic time at which it began to wait.
    cost : float
        Service that it takes, in requests of the usual size.
    """

    organisation: str
    weight: float
    priority: int
    deadline_s: float
    arrived_s: float
    cost: float = attrs.field(default=1.0, kw_only=True)
    _sequence: int = attrs.field(
        factory=itertools.count().__next__, init=False
    )

    @property
    def order_key(self) -> tuple[float, int]:
        """Sort key among the requests of one organisation."""
        return (
            self.arrived_s + self.priority * AGEING_S,
            self._sequence,
        )


@attrs.define(eq=False)
class _Lane:
    """One organisation's waiting requests and the service it has received."""

    name: str
    served: float
    entries: sortedcontainers.SortedKeyList = attrs.field(
        factory=lambda: sortedcontainers.SortedKeyList(
            key=lambda e: e.order_key
        )
    )
    counts: collections.Counter = attrs.field(factory=collections.Counter)

    def add(self, entry: Entry) -> None:
        self.entries.add(entry)
        self.counts[entry.priority] += 1

    def remove(self, entry: Entry) -> None:
        self.entries.remove(entry)
        self.counts[entry.priority] -= 1
        if not self.counts[entry.priority]:
            del self.counts[entry.priority]

    def count_up_to(self, priority: int) -> int:
        return sum(
            count for each, count in self.counts.items() if each <= priority
        )

    @property
    def order_key(self) -> tuple[float, str]:
        return _lane_key(self.served, self.entries[0]), self.name


def _lane_key(served: float, first: Entry) -> float:
    return served + first.priority * CLASS_LEAD


def _served_by(entry: Entry) -> float:
    """Return the service that a lane receives with an entry."""
    return entry.cost / max(entry.weight, 1e-6)


class FairQueue:
    """A weighted fair queue with priority classes.

    Each organisation has a lane, with the service it has received divided
    by its weight.  The lane with the least service is next; each step of
    lower priority counts as `CLASS_LEAD` more requests served.  Therefore:

    * an organisation within its share has its urgent requests served
      before the less urgent ones of all others;
    * an organisation that floods the queue, in whatever class, gets ahead
      of the others by at most `CLASS_LEAD` requests per class, and then
      gets its share;
    * a waiting background request is served when the others have received
      twice `CLASS_LEAD` requests more: no request starves.

    Within a lane, a request is served before a class `n` steps more urgent
    if it arrived ``n * AGEING_S`` seconds earlier.

    Examples
    --------
    >>> from toucanrudder.messages import Priority
    >>> queue = FairQueue()
    >>> for name, priority in (("a", 2), ("b", 1), ("a", 0)):
    ...     queue.push(Entry(name, 1.0, Priority(priority), 9.0, 0.0))
    >>> [queue.pop().priority.label for _ in range(3)]
    ['urgent', 'normal', 'background']
    """

    def __init__(self):
        self._lanes: dict[str, _Lane] = {}
        self._idle_served: dict[str, float] = {}
        self._order = sortedcontainers.SortedKeyList(key=lambda s: s.order_key)
        self._virtual_time = 0.0
        self._length = 0

    def __len__(self) -> int:
        return self._length

    def push(self, entry: Entry) -> None:
        """Add a request."""
        lane = self._lanes.get(entry.organisation)
        if lane is None:
            # An organisation earns no service while idle, and keeps the
            # lead that it had when it returns.
            served = self._idle_served.pop(entry.organisation, 0.0)
            lane = _Lane(entry.organisation, max(served, self._virtual_time))
            self._lanes[entry.organisation] = lane
        else:
            self._order.remove(lane)
        lane.add(entry)
        self._order.add(lane)
        self._length += 1

    def pop(self) -> Entry:
        """Remove and return the next request; the queue must not be empty."""
        entry = self._order[0].entries[0]
        self.take(entry)
        return entry

    def take(self, entry: Entry) -> bool:
        """Remove a request that is served; False if it is not in the queue."""
        lane = self._without(entry)
        if lane is None:
            return False
        self._virtual_time = max(self._virtual_time, lane.served)
        lane.served += _served_by(entry)
        self._put_back(lane)
        return True

    def in_order(self) -> Iterator[Entry]:
        """Yield the requests as they would be served if no others came.

        The queue must not change meanwhile.
        """
        heads = []
        for lane in self._lanes.values():
            entries = iter(lane.entries)
            first = next(entries)
            key = _lane_key(lane.served, first)
            heads.append((key, lane.name, lane.served, first, entries))
        heapq.heapify(heads)
        while heads:
            _, name, served, entry, entries = heads[0]
            yield entry
            served += _served_by(entry)
            following = next(entries, None)
            if following is None:
                heapq.heappop(heads)
                continue
            key = _lane_key(served, following)
            heapq.heapreplace(heads, (key, name, served, following, entries))

    def remove(self, entry: Entry) -> bool:
        """Remove a request; return False if it is not in the queue."""
        lane = self._without(entry)
        if lane is None:
            return False
        self._put_back(lane)
        return True

    def _without(self, entry: Entry) -> _Lane | None:
        """Take an entry out; return its lane, or None if it is not there."""
        lane = self._lanes.get(entry.organisation)
        if lane is None or entry not in lane.entries:
            return None
        self._order.remove(lane)
        lane.remove(entry)
        self._length -= 1
        return lane

    def _put_back(self, lane: _Lane) -> None:
        if lane.entries:
            self._order.add(lane)
            return
        del self._lanes[lane.name]
        if lane.served > self._virtual_time:
            self._idle_served[lane.name] = lane.served
        if len(self._idle_served) > 2 * len(self._lanes) + 64:
            self._idle_served = {
                name: served
                for name, served in self._idle_served.items()
                if served > self._virtual_time
            }

    def count_ahead(self, organisation: str, priority: int) -> int:
        """Estimate how many requests are served before a new one.

        Parameters
        ----------
        organisation : str
            Organisation of the new request.
        priority : int
            Its priority class or rank.

        Returns
        -------
        int
            The smaller of two bounds: all waiting requests of its class
            and more urgent ones; one request of every lane for each
            request that waits before it in its own lane.
        """
        total = own = 0
        for lane in self._lanes.values():
            before = lane.count_up_to(priority)
            total += before
            if lane.name == organisation:
                own = before
        rounds = (own + 1) * max(1, len(self._lanes))
        return min(total, rounds)

    def victim(self, newcomer: Entry) -> Entry | None:
        """Return the request to evict from a full queue for the newcomer.

        Without eviction, one organisation could fill the queue, and all
        others would be refused for as long as it does.

        Returns
        -------
        Entry or None
            The least urgent, latest request of the organisation with the
            most waiting requests for its weight.  None if the newcomer's
            organisation would then have at least as many for its weight, or
            if it is that organisation and has no less urgent request.
        """
        longest = max(
            self._lanes.values(),
            key=lambda s: (len(s.entries) / s.entries[0].weight, s.name),
        )
        last = max(longest.entries, key=lambda e: (e.priority, e.arrived_s))
        if longest.name == newcomer.organisation:
            return last if last.priority > newcomer.priority else None
        own = self._lanes.get(newcomer.organisation)
        waiting = 1 + (len(own.entries) if own else 0)
        if len(longest.entries) / last.weight > waiting / newcomer.weight:
            return last
        return None
