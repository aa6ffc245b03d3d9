"""The table that the demo prints."""

from collections.abc import Sequence

from hdrh import histogram
import prometheus_client

from toucanrudder import messages
from toucanrudder.demo import traffic

_COUNTERS = {
    "toucanrudder_refusals_total": "code",
    "toucanrudder_retries_total": "reason",
}
_HIGHEST_MS = 3_600_000


def hit_rate(outcomes: Sequence[traffic.Outcome]) -> float:
    """Return the share of prompt tokens that came from caches."""
    prompt = sum(each.prompt_tokens for each in outcomes)
    cached = sum(each.cached_tokens for each in outcomes)
    return cached / prompt if prompt else 0.0


def first_token_rows(outcomes: Sequence[traffic.Outcome]) -> list[str]:
    """Return a row of figures for each priority class."""
    rows = []
    for priority in messages.Priority:
        times = histogram.HdrHistogram(1, _HIGHEST_MS, 3)
        chosen = [
            each
            for each in outcomes
            if each.right and each.asked.priority is priority
        ]
        for each in chosen:
            times.record_value(max(1, round(each.first_token_s * 1000)))
        rows.append(
            f"  {priority.label:<12}{len(chosen):>8}"
            f"{times.get_value_at_percentile(50):>10} ms"
            f"{times.get_value_at_percentile(99):>10} ms"
        )
    return rows


def counted() -> list[str]:
    """Return the process's refusals and retries by reason."""
    rows = []
    for family in prometheus_client.REGISTRY.collect():
        for sample in family.samples:
            label = _COUNTERS.get(sample.name)
            if label is not None:
                what = sample.name.split("_")[1]
                rows.append(
                    f"  {what}: {sample.labels[label]} {sample.value:.0f}"
                )
    return sorted(rows) or ["  none"]


def table(
    outcomes: Sequence[traffic.Outcome], bookings: Sequence[traffic.Booking]
) -> str:
    """Return the whole table."""
    right = sum(each.right for each in outcomes)
    lines = [
        f"whole answers to their own callers: {right} of {len(outcomes)}",
        f"prefix hit rate, token-weighted:    {hit_rate(outcomes):.1%}",
        "time to first token:    count       p50          p99",
        *first_token_rows(outcomes),
        "refusals and retries by reason, both routers:",
        *counted(),
        "the same booking, sent twice:",
    ]
    for each in bookings:
        lines.append(f"  {each.router}: {each.status} {each.body[:160]}")
    return "\n".join(lines)
