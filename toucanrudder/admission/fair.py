"""The order in which waiting requests are served.  No I/O."""

import itertools

import attrs
import sortedcontainers

from toucanrudder.messages import request

CLASS_LEAD = 16.0
AGEING_S = 5.0


@attrs.define(eq=False)
class Entry:
    """A waiting request.

    Parameters
    ----------
    organisation : str
        Whose request it is.
    weight : float
        The organisation's share relative to others.
    priority : request.Priority
        Class.
    deadline_s : float
        Time after which being served is of no use, monotonic.
    arrived_s : float
        Time at which it began to wait, monotonic.
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
    def due(self) -> tuple[float, int]:
        """Order among the requests of one organisation."""
        return (
            self.arrived_s + self.priority * AGEING_S,
            self._sequence,
        )


@attrs.define(eq=False)
class _Lane:
    """One organisation's waiting requests and the service it has had."""

    name: str
    served: float
    entries: sortedcontainers.SortedKeyList = attrs.field(
        factory=lambda: sortedcontainers.SortedKeyList(key=lambda e: e.due)
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

    def up_to(self, priority: request.Priority) -> int:
        return sum(self.counts[: priority + 1])

    @property
    def order(self) -> tuple[float, str]:
        return (
            self.served + self.entries[0].priority * CLASS_LEAD,
            self.name,
        )


class FairQueue:
    """Priority classes within fair shares.

    Each organisation has a lane with a tally of the service it has had,
    divided by its weight.  The lane with the smallest tally goes next; a
    less urgent class counts as `CLASS_LEAD` more requests served.  So:

    * an organisation within its share has its urgent requests served
      before anyone's less urgent ones;
    * an organisation that floods, in whatever class, gets ahead of the
      others by at most `CLASS_LEAD` requests per class, then its share;
    * a waiting background request is reached when the others have been
      served twice `CLASS_LEAD` requests beyond it: nothing starves.

    Within a lane, a request goes ahead of a class `n` steps more urgent
    when it arrived ``n * AGEING_S`` earlier.

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
        self._tallies: dict[str, float] = {}
        self._order = sortedcontainers.SortedKeyList(key=lambda s: s.order)
        self._clock = 0.0
        self._length = 0

    def __len__(self) -> int:
        return self._length

    def push(self, entry: Entry) -> None:
        """Add a request."""
        lane = self._lanes.get(entry.organisation)
        if lane is None:
            # An idle organisation saves up no service, and a returning
            # one keeps the lead that it took.
            tally = self._tallies.pop(entry.organisation, 0.0)
            lane = _Lane(entry.organisation, max(tally, self._clock))
            self._lanes[entry.organisation] = lane
        else:
            self._order.remove(lane)
        lane.add(entry)
        self._order.add(lane)
        self._length += 1

    def pop(self) -> Entry:
        """Take the next request; the queue must not be empty."""
        lane = self._order.pop(0)
        entry = lane.entries[0]
        lane.remove(entry)
        self._length -= 1
        self._clock = max(self._clock, lane.served)
        lane.served += 1.0 / max(entry.weight, 1e-6)
        self._put_back(lane)
        return entry

    def remove(self, entry: Entry) -> bool:
        """Take out a request that waits no longer; False if not there."""
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
        if lane.served > self._clock:
            self._tallies[lane.name] = lane.served
        if len(self._tallies) > 2 * len(self._lanes) + 64:
            self._tallies = {
                name: served
                for name, served in self._tallies.items()
                if served > self._clock
            }

    def ahead(self, organisation: str, priority: request.Priority) -> int:
        """Estimate how many requests go before a new one.

        Parameters
        ----------
        organisation : str
            Whose the new request would be.
        priority : request.Priority
            Its class.

        Returns
        -------
        int
            The smaller of two bounds: all waiting requests of its class
            and more urgent ones; a turn of every lane for each request
            that waits before it in its own lane.
        """
        total = own = 0
        for lane in self._lanes.values():
            before = lane.up_to(priority)
            total += before
            if lane.name == organisation:
                own = before
        turns = (own + 1) * max(1, len(self._lanes))
        return min(total, turns)

    def victim(self, newcomer: Entry) -> Entry | None:
        """Return whom a full queue gives up for the newcomer.

        A flood would otherwise fill the queue, and every other
        organisation would be refused for as long as it lasts.

        Returns
        -------
        Entry or None
            The least urgent, latest request of the organisation that has
            the most waiting for its weight; None if that is the
            newcomer's own and no request of it is less urgent.
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
