"""Latest load report of each upstream."""

import attrs
import cattrs

#: A report older than this says nothing about the upstream's health.
STALE_S = 3.0

_converter = cattrs.Converter()


@attrs.frozen
class LoadReport:
    """What an upstream says of itself; see docs/protocols.md."""

    name: str
    incarnation: str
    state: str = "live"
    running: int = 0
    waiting: int = 0
    queued_prefill_tokens: int = 0
    prefill_tokens_per_s: float = 10000.0
    decode_s_per_token: float = 0.02
    slots: int = 8
    models: dict[str, str] = attrs.field(factory=dict)
    role: str = ""
    fencing: int = 0
    at_s: float = 0.0


def parse(data: dict) -> LoadReport:
    """Return the report in a decoded JSON body.

    Raises
    ------
    ValueError
        The body has another shape.

    Examples
    --------
    >>> from toucanrudder.upstreams import loads
    >>> loads.parse({"name": "e1", "incarnation": "i1"}).state
    'live'
    """
    try:
        return _converter.structure(data, LoadReport)
    except (cattrs.BaseValidationError, TypeError, ValueError) as error:
        raise ValueError(f"not a load report: {error}") from error


@attrs.frozen
class ReceivedReport:
    """A report with the monotonic time at which it arrived."""

    report: LoadReport
    received_s: float


class LoadTable:
    """Reports and failures of polls, by upstream."""

    def __init__(self):
        self._known: dict[str, ReceivedReport] = {}
        self._gone: set[str] = set()

    def record_report(
        self, name: str, report: LoadReport, now_s: float
    ) -> bool:
        """Take a report; return whether the incarnation is a new one."""
        before = self._known.get(name)
        self._known[name] = ReceivedReport(report, now_s)
        self._gone.discard(name)
        return (
            before is not None
            and before.report.incarnation != report.incarnation
        )

    def mark_unreachable(self, name: str) -> None:
        """Note that nothing listens there; holds until the next report."""
        self._gone.add(name)

    def get(self, name: str) -> ReceivedReport | None:
        """Return the last report, or None before the first one."""
        return self._known.get(name)

    def is_reachable(self, name: str) -> bool:
        """Whether nothing has shown that the upstream is gone."""
        return name not in self._gone

    def is_healthy(self, name: str, now_s: float) -> bool:
        """Whether new work may be sent there, as far as polls tell.

        An upstream that was never heard of counts as healthy: a router
        that has just started must serve before its first polls are back.
        """
        known = self._known.get(name)
        fresh = known is None or now_s - known.received_s <= STALE_S
        return fresh and self.is_reachable(name)

    def retain(self, names: frozenset[str]) -> None:
        """Forget upstreams that the configuration no longer holds."""
        self._gone &= names
        for name in self._known.keys() - names:
            del self._known[name]
