"""Late and lost requests by the step that took the time."""

import collections
from collections.abc import Iterable
from collections.abc import Mapping
import enum
import math
import pathlib

import attrs

from toucanrudder.cli import explain


class Cause(enum.Enum):
    """Why a request was late or lost; the first that fits."""

    IN_TIME = "in time"
    LEFT = "lost: the caller left"
    REFUSED = "lost: refused, had not run"
    BROKE = "lost: broke off or found no answer"
    FAILED = "lost: the upstream answered with a failure"
    TRIED_AGAIN = "late: an earlier try had failed"
    WAITED = "late: waited in the router"
    READING = "late: the engine read most of the prompt"
    QUEUED = "late: the engine had most of the prompt, and was busy"
    PAUSED = "late: a pause between two events"
    SLOW = "late: the service was slow"


#: Part of the objective that a request may spend in the router before the
#: wait there counts as what made it late.
WAITED_SHARE = 0.5

#: Part of a prompt that an engine has to read for the reading to count as
#: what made it late.
READING_SHARE = 0.5


@attrs.define
class Way:
    """What the lines say of one request.

    Parameters
    ----------
    placed : list of dict
        Its tries.
    ended : dict
        Its last line.
    """

    placed: list[dict] = attrs.field(factory=list)
    ended: dict = attrs.field(factory=dict)

    @property
    def route(self) -> str:
        """The route's name."""
        found = self.ended.get("route") or ""
        return found or next((each["route"] for each in self.placed), "")


def cause(way: Way) -> Cause:
    """Return why a request was late or lost.

    Examples
    --------
    >>> ended = {"event": "CallerLeft"}
    >>> cause(Way(ended=ended))
    <Cause.LEFT: 'lost: the caller left'>
    """
    kind = way.ended.get("event")
    if kind == "CallerLeft":
        return Cause.LEFT
    if kind == "Refused":
        not_run = way.ended["ran"] == "not_run"
        return Cause.REFUSED if not_run else Cause.BROKE
    if way.ended["status"] >= 500:
        return Cause.FAILED
    if way.ended["first_s"] > way.ended.get("objective_s", math.inf):
        return _late_cause(way)
    if way.ended.get("longest_gap_s", 0) > way.ended.get("event_gap_s", 0):
        return Cause.PAUSED
    return Cause.IN_TIME


def _late_cause(way: Way) -> Cause:
    if way.ended["attempts"] > 1:
        return Cause.TRIED_AGAIN
    if not way.placed:
        return Cause.SLOW
    last = way.placed[-1]
    if last.get("waited_s", 0) > WAITED_SHARE * way.ended["objective_s"]:
        return Cause.WAITED
    prompt_tokens = last.get("prompt_tokens", 0)
    if not prompt_tokens:
        return Cause.SLOW
    if last["missing_tokens"] > READING_SHARE * prompt_tokens:
        return Cause.READING
    return Cause.QUEUED


_ENDS = ("Answered", "Refused", "CallerLeft")


def ways(paths: Iterable[pathlib.Path]) -> list[Way]:
    """Return all requests of which the files tell the end."""
    found: dict[str, Way] = collections.defaultdict(Way)
    for path in paths:
        with path.open(errors="replace") as lines:
            for each in explain.objects(lines):
                request_id = each.get("request_id")
                if each.get("event") == "Placed":
                    found[request_id].placed.append(each)
                elif each.get("event") in _ENDS:
                    found[request_id].ended = each
    return [way for way in found.values() if way.ended]


def table(found: Iterable[Way]) -> Mapping[str, collections.Counter]:
    """Return the number of requests by route and cause.

    Examples
    --------
    >>> table([Way(ended={"event": "CallerLeft", "route": "r"})])
    {'r': Counter({<Cause.LEFT: 'lost: the caller left'>: 1})}
    """
    counted: dict[str, collections.Counter] = {}
    for way in found:
        of_route = counted.setdefault(way.route, collections.Counter())
        of_route[cause(way)] += 1
    return counted


def text(paths: Iterable[pathlib.Path]) -> str:
    """Return the table for a person, the largest causes first."""
    lines = []
    for route, causes in sorted(table(ways(paths)).items()):
        total = causes.total()
        lines.append(f"{route or 'no route'}: {total} requests")
        lines += [
            f"  {number:6d}  {number / total:6.1%}  {each.value}"
            for each, number in causes.most_common()
        ]
    return "\n".join(lines)
