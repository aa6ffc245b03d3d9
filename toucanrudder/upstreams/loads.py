"""Latest load report of each upstream."""

import attrs
import cattrs

#: Seconds after which a report no longer shows that the upstream is healthy.
STALE_S = 3.0

_converter = cattrs.Converter()


@attrs.frozen
class LoadReport:
    """The load that an upstream reports; see docs/protocols.md."""

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
    software_version: str = ""
    at_s: float = 0.0


def parse(data: dict) -> LoadReport:
    """Return the report in a decoded JSON body.

    Raises
    ------
    ValueError
        If the body is not a load report.

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
    """Latest load reports and failed polls, by upstream."""

    def __init__(self):
        self._reports: dict[str, ReceivedReport] = {}
        self._unreachable: set[str] = set()

    def record_report(
        self, name: str, report: LoadReport, now_s: float
    ) -> bool:
        """Store a report; return whether the incarnation has changed."""
        previous = self._reports.get(name)
        self._reports[name] = ReceivedReport(report, now_s)
        self._unreachable.discard(name)
        return (
            previous is not None
            and previous.report.incarnation != report.incarnation
        )

    def mark_unreachable(self, name: str) -> None:
        """Mark an upstream unreachable until its next report."""
        self._unreachable.add(name)

    def get(self, name: str) -> ReceivedReport | None:
        """Return the last report, or None before the first one."""
        return self._reports.get(name)

    def is_reachable(self, name: str) -> bool:
        """Whether the upstream is not marked unreachable."""
        return name not in self._unreachable

    def is_healthy(self, name: str, now_s: float) -> bool:
        """Whether polls permit sending new requests there.

        An upstream without a report counts as healthy: a router that has
        just started must serve before its first polls are answered.
        """
        latest = self._reports.get(name)
        is_fresh = latest is None or now_s - latest.received_s <= STALE_S
        return is_fresh and self.is_reachable(name)

    def retain(self, names: frozenset[str]) -> None:
        """Forget upstreams that are not in the configuration."""
        self._unreachable &= names
        for name in self._reports.keys() - names:
            del self._reports[name]
