"""What the measured slopes give at the target size."""

from collections.abc import Callable
from collections.abc import Mapping

import attrs

from toucanrudder.bench.capacity import fits
from toucanrudder.bench.capacity import records
from toucanrudder.bench.capacity import target

Records = Mapping[str, records.Record]


@attrs.frozen
class Line:
    """One line of the table.

    Parameters
    ----------
    what : str
        What is worked out.
    how : str
        From which records, in words.
    unit : str
        Unit of the value.
    value : callable
        Works it out from the records.
    bound : float or None
        What the target allows.
    """

    what: str
    how: str
    unit: str
    value: Callable[[Records], float]
    bound: float | None = None


def _at(name: str, quantity: str, size: float) -> Callable[[Records], float]:
    def value(known: Records) -> float:
        return known[name].fit(quantity).at(size)

    return value


def _slope(known: Records, name: str, quantity: str) -> float:
    return known[name].fit(quantity).slope


def _per_event(known: Records) -> float:
    """Processor seconds of one relayed token event."""
    points = known["streams"].points
    return fits.fit(
        [point["events_per_s"] for point in points],
        [point["core_share"] for point in points],
    ).slope


def _per_change(quantity: str) -> Callable[[Records], float]:
    def value(known: Records) -> float:
        each = known["documents"].fit(quantity).at(target.ORGANISATIONS)
        return each * target.CHANGES_PER_DAY / target.DAY_S

    return value


def _decision(engines: float) -> Callable[[Records], float]:
    def value(known: Records) -> float:
        each = known["placement"].fit("decision_s").at(engines)
        return each * target.REQUESTS_PER_S / target.ROUTERS

    return value


_TOKENS = target.TOKENS_PER_S / target.ROUTERS
_REQUESTS = target.REQUESTS_PER_S / target.ROUTERS
_SHARE = target.BLOCKS / target.ROUTERS

LINES = (
    Line(
        "relayed token events",
        f"slope of `streams` by events, times {_TOKENS:,.0f}/s",
        "cores",
        lambda known: _per_event(known) * _TOKENS,
        1.0,
    ),
    Line(
        "requests, beside their token events",
        f"slope of `requests`, times {_REQUESTS:.0f}/s",
        "cores",
        lambda known: _slope(known, "requests", "processor_s") * _REQUESTS,
        1.0,
    ),
    Line(
        "memory of the open streams",
        "slope of `streams`, times 330",
        "MB",
        lambda known: _slope(known, "streams", "resident_bytes") * 330 / 1e6,
    ),
    Line(
        "placement among all engines of one model",
        f"`placement` at {target.ENGINES // target.MODELS}, "
        f"times {_REQUESTS:.0f}/s",
        "cores",
        _decision(target.ENGINES / target.MODELS),
        1.0,
    ),
    Line(
        "placement among 16 candidates",
        f"`placement` at 16, times {_REQUESTS:.0f}/s",
        "cores",
        _decision(16),
        1.0,
    ),
    Line(
        "following 1,100 engines from each router",
        "`reports`, the point of 1,100",
        "cores",
        lambda known: known["reports"].points[-1]["core_share"],
        target.CONTROL_CORE_SHARE,
    ),
    Line(
        "following 1,100 engines from each router",
        "`reports`, the point of 1,100",
        "KB/s",
        lambda known: known["reports"].points[-1]["wire_bytes_per_s"] / 1e3,
        target.CONTROL_BYTES_PER_S / 1e3,
    ),
    Line(
        "following 1,100 engines from each router",
        "`reports`, the point of 1,100",
        "MB",
        lambda known: known["reports"].points[-1]["resident_bytes"] / 1e6,
        target.CONTROL_BYTES / 1e6,
    ),
    Line(
        "all cache events at each router",
        "slope of `events`, times 1 M/s",
        "cores",
        lambda known: (
            _slope(known, "events", "core_share") * target.CACHE_EVENTS_PER_S
        ),
        target.CONTROL_CORE_SHARE,
    ),
    Line(
        "a 400th of the cache events at each router",
        "slope of `events`, times 2,500/s",
        "cores",
        lambda known: (
            _slope(known, "events", "core_share")
            * target.CACHE_EVENTS_PER_S
            / target.ROUTERS
        ),
        target.CONTROL_CORE_SHARE,
    ),
    Line(
        "a 400th of the cache events at each router",
        "slope of `events`, times 2,500/s",
        "KB/s",
        lambda known: (
            _slope(known, "events", "wire_bytes_per_s")
            * target.CACHE_EVENTS_PER_S
            / target.ROUTERS
            / 1e3
        ),
        target.CONTROL_BYTES_PER_S / 1e3,
    ),
    Line(
        "beliefs about all blocks at each router",
        "slope of `beliefs`, times 91 M",
        "MB",
        lambda known: (
            _slope(known, "beliefs", "memory_bytes") * target.BLOCKS / 1e6
        ),
        target.CONTROL_BYTES / 1e6,
    ),
    Line(
        "beliefs about a 400th of the blocks at each router",
        f"slope of `beliefs`, times {_SHARE:,.0f}",
        "MB",
        lambda known: _slope(known, "beliefs", "memory_bytes") * _SHARE / 1e6,
        target.CONTROL_BYTES / 1e6,
    ),
    Line(
        "document of 2,000 organisations",
        "`documents` at 2,000",
        "MB",
        lambda known: _at("documents", "size_bytes", 2000)(known) / 1e6,
        target.STORE_VALUE_BYTES / 1e6,
    ),
    Line(
        "the document in memory",
        "`documents` at 2,000",
        "MB",
        lambda known: _at("documents", "memory_bytes", 2000)(known) / 1e6,
        target.CONTROL_BYTES / 1e6,
    ),
    Line(
        "validating one change, on the router that applies it",
        "`documents` at 2,000",
        "s",
        _at("documents", "validate_s", 2000),
        target.CHANGE_WITHIN_S,
    ),
    Line(
        "reading each change, on every router",
        "`documents` at 2,000 (decode, structure), 3,500 a day",
        "cores",
        lambda known: (
            _per_change("decode_s")(known) + _per_change("structure_s")(known)
        ),
        target.CONTROL_CORE_SHARE,
    ),
    Line(
        "the loop's pause while one change is read",
        "`documents` at 2,000 (decode, structure)",
        "s",
        lambda known: (
            _at("documents", "decode_s", 2000)(known)
            + _at("documents", "structure_s", 2000)(known)
        ),
    ),
    Line(
        "receiving each change whole, on every router",
        "`documents` at 2,000, 3,500 a day",
        "KB/s",
        lambda known: _per_change("size_bytes")(known) / 1e3,
        target.CONTROL_BYTES_PER_S / 1e3,
    ),
    Line(
        "telling 400 watchers of one change",
        "`watchers` at 400",
        "s",
        _at("watchers", "all_told_s", 400),
        target.CHANGE_WITHIN_S,
    ),
    Line(
        "one watch a router, opened anew each 10 s and at each change",
        "400 / 10 s + 400 times 3,500 a day",
        "reads/s",
        lambda known: (
            target.ROUTERS / 10
            + target.ROUTERS * target.CHANGES_PER_DAY / target.DAY_S
        ),
        target.STORE_READS_PER_S,
    ),
    Line(
        "members: the table of 400 routers",
        "`membership` at 400",
        "MB",
        lambda known: _at("membership", "memory_bytes", 400)(known) / 1e6,
        target.CONTROL_BYTES / 1e6,
    ),
    Line(
        "members: the list of live routers, once a request",
        f"`membership` at 400, times {_REQUESTS:.0f}/s",
        "cores",
        lambda known: _at("membership", "live_s", 400)(known) * _REQUESTS,
        target.CONTROL_CORE_SHARE,
    ),
    Line(
        "a router without traffic, 8 engines, today's fleet of 8",
        "`routers`, the point of 8",
        "cores",
        lambda known: known["routers"].points[1]["core_share"],
        target.CONTROL_CORE_SHARE,
    ),
    Line(
        "a router without traffic, 8 engines, today's fleet of 8",
        "`routers`, the point of 8",
        "KB/s",
        lambda known: known["routers"].points[1]["wire_bytes_per_s"] / 1e3,
        target.CONTROL_BYTES_PER_S / 1e3,
    ),
    Line(
        "a router without traffic, 8 engines, fleet of 32",
        "`routers`, the point of 32",
        "cores",
        lambda known: known["routers"].points[-1]["core_share"],
        target.CONTROL_CORE_SHARE,
    ),
    Line(
        "a router without traffic, 8 engines, fleet of 32",
        "`routers`, the point of 32",
        "KB/s",
        lambda known: known["routers"].points[-1]["wire_bytes_per_s"] / 1e3,
        target.CONTROL_BYTES_PER_S / 1e3,
    ),
    Line(
        "a router without traffic, 8 engines, fleet of 400",
        "`routers` at 400",
        "MB",
        lambda known: _at("routers", "resident_bytes", 400)(known) / 1e6,
        target.CONTROL_BYTES / 1e6,
    ),
    Line(
        "heartbeats alone, each 0.5 s, fleet of 8",
        "slope of `heartbeats`, times 20",
        "KB/s",
        lambda known: (
            _slope(known, "heartbeats", "wire_bytes_per_s") * 20 / 1e3
        ),
        target.CONTROL_BYTES_PER_S / 1e3,
    ),
    Line(
        "heartbeats alone, each 4 s, fleet of 8",
        "slope of `heartbeats`, times 2.5",
        "KB/s",
        lambda known: (
            _slope(known, "heartbeats", "wire_bytes_per_s") * 2.5 / 1e3
        ),
        target.CONTROL_BYTES_PER_S / 1e3,
    ),
    Line(
        "store calls of 400 routers without traffic",
        "`routers` at 400",
        "calls/s",
        _at("routers", "store_calls_per_s", 400),
        target.STORE_READS_PER_S,
    ),
    Line(
        "claims that 300 writes a second carry, deletions left out",
        "300 divided by the slope of `claims`",
        "claims/s",
        lambda known: (
            target.STORE_WRITES_PER_S / _slope(known, "claims", "writes")
        ),
    ),
    Line(
        "31 routers of a zone started at once, processor time of each",
        "`starts` at 31",
        "s",
        _at("starts", "processor_s", 31),
    ),
    Line(
        "limits of 2,000 organisations",
        "`limits` at 2,000",
        "MB",
        lambda known: _at("limits", "memory_bytes", 2000)(known) / 1e6,
        target.CONTROL_BYTES / 1e6,
    ),
)


def verdict(value: float, bound: float | None) -> str:
    """Return how the value stands to the bound.

    Examples
    --------
    >>> verdict(0.5, 1.0), verdict(2.0, 1.0), verdict(1.0, None)
    ('fits', 'too much', '')
    """
    if bound is None:
        return ""
    return "fits" if value <= bound else "too much"
