"""This router's own work at each upstream."""

from collections.abc import Iterator
import contextlib

import attrs


@attrs.define(eq=False)
class InFlightRequest:
    """One request that is at an upstream now.

    Parameters
    ----------
    fingerprint : str
        Organisation and body digest, as the quarantine knows it.
    prefill_tokens : int
        Prompt tokens it still has to compute there, expected; 0 once the
        first token has come.
    incarnation : str
        Incarnation of the upstream that it was sent to, or empty while
        that is not known.
    isolated : bool
        Whether it was sent there as a suspect on trial.
    priority : int
        Its class; the smaller goes first.
    """

    fingerprint: str
    prefill_tokens: int
    incarnation: str = ""
    isolated: bool = False
    priority: int = 0


class InFlightTable:
    """Entries by upstream.

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
        self._entries: dict[str, set[InFlightRequest]] = {}

    @contextlib.contextmanager
    def track(
        self, upstream: str, entry: InFlightRequest
    ) -> Iterator[InFlightRequest]:
        """Count the entry for as long as the context is open."""
        entries = self._entries.setdefault(upstream, set())
        entries.add(entry)
        try:
            yield entry
        finally:
            entries.discard(entry)

    def request_count(self, upstream: str) -> int:
        """Return how many requests are there."""
        return len(self._entries.get(upstream, ()))

    def prefill_tokens(self, upstream: str) -> int:
        """Return the tokens sent there that gave no first token yet."""
        return sum(
            entry.prefill_tokens for entry in self._entries.get(upstream, ())
        )

    def ahead_share(self, priority: int) -> float:
        """Return the part of the prefill work that goes before a class.

        Over all upstreams, as one router has little work at any one.
        """
        ahead, total = 0, 0
        for entries in self._entries.values():
            for entry in entries:
                total += entry.prefill_tokens
                if entry.priority <= priority:
                    ahead += entry.prefill_tokens
        return ahead / total if total else 1.0

    def entries(self, upstream: str) -> tuple[InFlightRequest, ...]:
        """Return the entries at the upstream."""
        return tuple(self._entries.get(upstream, ()))

    def busy_upstreams(self) -> tuple[str, ...]:
        """Return the upstreams at which there are requests."""
        return tuple(name for name, there in self._entries.items() if there)
