"""Makes the record of a run."""

import collections
from collections.abc import Iterable
import os
import platform

import attrs
from prometheus_client import parser

from toucanrudder.bench import fates
from toucanrudder.bench import judge
from toucanrudder.bench import workload
from toucanrudder.messages import request

# Above these the machine, not the policy, has been measured.
MAX_STANDIN_LAG_S = 0.02
MAX_CALLER_LAG_S = 0.05
MAX_MISMATCH_SHARE = 0.05
RECOVERY_S = 5.0

_RETRIES = "toucanrudder_retries_total"
_EXPECTED = "toucanrudder_expected_hit_tokens_total"
_FALSE = "toucanrudder_false_hit_tokens_total"


@attrs.frozen
class Measured:
    """What was gathered in one run.

    Parameters
    ----------
    outcomes : list of fates.Outcome
        Of all requests.
    cache : judge.CacheUse
        From the engines' journals.
    service_runs : collections.Counter
        Runs by idempotency key, over all services.
    metrics_pages : list of str
        Of all router processes.
    store_calls : int
        Calls of the platform during the run.
    duration_s : float
        Length of the run.
    standin_lag_s, caller_lag_s : float
        99th percentile of how late the stand-ins' and the callers' loops
        woke up.
    """

    outcomes: list[fates.Outcome]
    cache: judge.CacheUse
    service_runs: collections.Counter
    metrics_pages: list[str]
    store_calls: int
    duration_s: float
    standin_lag_s: float
    caller_lag_s: float


def percentile(values: Iterable[float], share: float) -> float | None:
    """Return the value that this share of the values does not exceed.

    Examples
    --------
    >>> percentile([3.0, 1.0, 2.0], 0.5)
    2.0
    """
    ordered = sorted(values)
    if not ordered:
        return None
    return ordered[min(len(ordered) - 1, int(len(ordered) * share))]


def record(
    key: dict, times: workload.Times, measured: Measured
) -> dict[str, object]:
    """Return the record of a run.

    Parameters
    ----------
    key : dict
        Deployment, scenario, policy and seed.
    times : workload.Times
        Which requests count.
    measured : Measured
        The rest.
    """
    counted = [
        each
        for each in measured.outcomes
        if times.warm_up_s <= each.ask.at_s < times.end_s
    ]
    sums = _counters(measured.metrics_pages)
    expected = sum(sums[_EXPECTED].values())
    return key | {
        "valid": _valid(measured),
        "hit_rate": round(measured.cache.hit_rate, 4),
        "ttft_p50_ms": _first_token_ms(counted, 0.5),
        "ttft_p99_ms": _first_token_ms(counted, 0.99),
        "wasted_tokens": measured.cache.wasted_tokens,
        "prompt_tokens": measured.cache.prompt_tokens,
        "answered": _fates(counted)[fates.Fate.ANSWERED],
        "refused": dict(
            collections.Counter(
                each.code
                for each in counted
                if each.fate is fates.Fate.REFUSED
            )
        ),
        "retried": {
            dict(labels)["reason"]: int(value)
            for labels, value in sums[_RETRIES].items()
        },
        "lost": _fates(measured.outcomes)[fates.Fate.LOST],
        "doubled": sum(n > 1 for n in measured.service_runs.values()),
        "cut": _fates(measured.outcomes)[fates.Fate.CUT],
        "store_calls_per_s": round(
            measured.store_calls / measured.duration_s, 2
        ),
        "standin_lag_p99_ms": round(1000 * measured.standin_lag_s, 2),
        "caller_lag_p99_ms": round(1000 * measured.caller_lag_s, 2),
        "replay_mismatch_share": round(measured.cache.mismatch_share, 4),
        "false_hit_rate": (
            round(sum(sums[_FALSE].values()) / expected, 4)
            if expected
            else None
        ),
        "urgent_p99_ms_by_time": _recovery(measured.outcomes, times),
    }


def machine() -> dict[str, object]:
    """Return what describes the machine."""
    pages = os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE")
    return {
        "cores": os.cpu_count(),
        "memory_gb": round(pages / 2**30, 1),
        "architecture": platform.machine(),
        "python": platform.python_version(),
        "load_average_before": round(os.getloadavg()[0], 1),
    }


def _valid(measured: Measured) -> bool:
    return (
        measured.standin_lag_s <= MAX_STANDIN_LAG_S
        and measured.caller_lag_s <= MAX_CALLER_LAG_S
        and measured.cache.mismatch_share <= MAX_MISMATCH_SHARE
    )


def _fates(counted):
    return collections.Counter(each.fate for each in counted)


def _first_token_ms(counted, share) -> dict[str, float | None]:
    return {
        priority.label: _class_ms(counted, priority, share)
        for priority in request.Priority
    }


def _class_ms(counted, priority, share) -> float | None:
    value_s = percentile(
        (
            each.first_token_s
            for each in counted
            if isinstance(each.ask, workload.ModelAsk)
            and each.ask.priority is priority
            and each.first_token_s is not None
        ),
        share,
    )
    return None if value_s is None else round(1000 * value_s, 1)


def _recovery(all_outcomes, times) -> dict[str, float | None]:
    back_s = times.event_s + RECOVERY_S
    spans = {
        "before_event": (times.warm_up_s, times.event_s),
        "first_5s": (times.event_s, back_s),
        "later": (back_s, times.end_s),
    }
    return {
        name: _class_ms(
            [each for each in all_outcomes if start <= each.ask.at_s < end],
            request.Priority.URGENT,
            0.99,
        )
        for name, (start, end) in spans.items()
    }


def _counters(pages: list[str]) -> dict[str, collections.Counter]:
    sums = collections.defaultdict(collections.Counter)
    for page in pages:
        for family in parser.text_string_to_metric_families(page):
            for sample in family.samples:
                labels = tuple(sorted(sample.labels.items()))
                sums[sample.name][labels] += sample.value
    return sums
