"""This router's own requests in flight at each upstream."""

from collections.abc import Iterator
import contextlib

import attrs


@attrs.define(eq=False)
class InFlightRequest:
    """One request in flight at an upstream.

    Parameters
    ----------
    fingerprint : str
        Identity of the request, from `quarantine.fingerprint`.
    prefill_tokens : int
        Prompt tokens expected still to be computed there; 0 once the first
        token has arrived.
    incarnation : str
        Incarnation of the upstream that it was sent to; empty while
        unknown.
    sent_after : str
        Incarnation whose crash was known when it was sent, and that has not
        answered it.
    isolated : bool
        Whether it was sent there as a suspect for a trial.
    priority : int
        Priority class; smaller ones run first.
    sent_parts : tuple of tuple
        Parts of its prompt, as in `quarantine.InFlight`.
    """

    fingerprint: str
    prefill_tokens: int
    incarnation: str = ""
    sent_after: str = ""
    isolated: bool = False
    priority: int = 0
    sent_parts: tuple[tuple[str, int], ...] = ()

    def record_first_event(self, incarnation: str) -> None:
        """Record which process has answered; its prefill is complete."""
        self.prefill_tokens = 0
        self.incarnation = incarnation
        self.sent_after = ""


class InFlightTable:
    """Requests in flight, by upstream.

    Examples
    --------
    >>> from toucanrudder.upstreams import in_flight
    >>> table = in_flight.InFlightTable()
    >>> with table.track("e1", in_flight.InFlightRequest("f", 100)):
    ...     table.request_count("e1"), table.prefill_tokens("e1")
    (1, 100)
    >>> table.request_count("e1")
    0
    """

    def __init__(self):
        self._requests: dict[str, set[InFlightRequest]] = {}

    @contextlib.contextmanager
    def track(
        self, upstream: str, request: InFlightRequest
    ) -> Iterator[InFlightRequest]:
        """Track the request while the context is open."""
        requests = self._requests.setdefault(upstream, set())
        requests.add(request)
        try:
            yield request
        finally:
            requests.discard(request)

    def request_count(self, upstream: str) -> int:
        """Return the number of requests at the upstream."""
        return len(self._requests.get(upstream, ()))

    def prefill_tokens(self, upstream: str) -> int:
        """Return the prompt tokens still to be computed at the upstream."""
        return sum(
            request.prefill_tokens
            for request in self._requests.get(upstream, ())
        )

    def ahead_share(self, priority: int) -> float:
        """Return the fraction of prefill work that runs before a class.

        Taken over all upstreams, as one router has few requests at each.
        """
        ahead, total = 0, 0
        for requests in self._requests.values():
            for request in requests:
                total += request.prefill_tokens
                if request.priority <= priority:
                    ahead += request.prefill_tokens
        return ahead / total if total else 1.0

    def entries(self, upstream: str) -> tuple[InFlightRequest, ...]:
        """Return the requests at the upstream."""
        return tuple(self._requests.get(upstream, ()))

    def busy_upstreams(self) -> tuple[str, ...]:
        """Return the upstreams with requests."""
        return tuple(
            name for name, requests in self._requests.items() if requests
        )
