"""Fair queueing of waiting requests.  No I/O."""

import itertools

import attrs
import sortedcontainers

from toucanrudder.messages import request

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
    priority : request.Priority
        Priority class.
    deadline_s : float
        Monotonic time after which serving it is useless.
    arrived_s : float
        Monotonic time at which it began to wait.
    """

    organisation: str
    weight: float
    priority: request.Priority
    deadline_s: float
    arrived_s: float
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
    counts: list[int] = attrs.field(
        factory=lambda: [0] * len(request.Priority)
    )

    def add(self, entry: Entry) -> None:
        self.entries.add(entry)
        self.counts[entry.priority] += 1

    def remove(self, entry: Entry) -> None:
        self.entries.remove(entry)
        self.counts[entry.priority] -= 1

    def count_up_to(self, priority: request.Priority) -> int:
        return sum(self.counts[: priority + 1])

    @property
    def order_key(self) -> tuple[float, str]:
        return (
            self.served + self.entries[0].priority * CLASS_LEAD,
            self.name,
        )


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
        lane = self._order.pop(0)
        entry = lane.entries[0]
        lane.remove(entry)
        self._length -= 1
        self._virtual_time = max(self._virtual_time, lane.served)
        lane.served += 1.0 / max(entry.weight, 1e-6)
        self._put_back(lane)
        return entry

    def remove(self, entry: Entry) -> bool:
        """Remove a request; return False if it is not in the queue."""
        lane = self._lanes.get(entry.organisation)
        if lane is None or entry not in lane.entries:
            return False
        self._order.remove(lane)
        lane.remove(entry)
        self._length -= 1
        self._put_back(lane)
        return True

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

    def count_ahead(
        self, organisation: str, priority: request.Priority
    ) -> int:
        """Estimate how many requests are served before a new one.

        Parameters
        ----------
        organisation : str
            Organisation of the new request.
        priority : request.Priority
            Its priority class.

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
