"""Medians, ranges, paired ratios and plots of the records."""

from collections.abc import Callable
from collections.abc import Iterable
import pathlib
import statistics

import attrs

OURS = "toucanrudder"


@attrs.frozen
class Measure:
    """One column of the report.

    Parameters
    ----------
    name : str
        Its heading.
    value : callable
        Returns it from a record.
    digits : int
        Digits after the point.
    """

    name: str
    value: Callable[[dict], float | None]
    digits: int


def _wasted_share(record: dict) -> float:
    return record["wasted_tokens"] / max(1, record["prompt_tokens"])


def _class_value(field: str, label: str) -> Callable[[dict], float | None]:
    return lambda record: record[field][label]


MEASURES = (
    Measure("hit rate", lambda record: record["hit_rate"], 3),
    Measure("wasted share", _wasted_share, 4),
    *(
        Measure(f"{label} {name} ms", _class_value(field, label), 0)
        for label in ("urgent", "normal", "background")
        for name, field in (("p50", "ttft_p50_ms"), ("p99", "ttft_p99_ms"))
    ),
    Measure("store calls/s", lambda record: record["store_calls_per_s"], 1),
    Measure("false hit rate", lambda record: record["false_hit_rate"], 4),
)
_COUNTS = ("answered", "lost", "doubled", "cut")


def write(records: list[dict], out: pathlib.Path) -> str:
    """Write the report and the plots beside `out`; return the report.

    Parameters
    ----------
    records : list of dict
        All records of a bench.
    out : pathlib.Path
        Its JSON file.
    """
    text = as_text(records)
    records = [record for record in records if record["valid"]]
    out.with_name(f"{out.stem}-report.md").write_text(text, encoding="utf-8")
    for measure in MEASURES:
        name = measure.name.replace(" ", "-").replace("/", "-per-")
        _plot(records, measure, out.with_name(f"{out.stem}-{name}.png"))
    return text


def as_text(records: list[dict]) -> str:
    """Return the report in Markdown."""
    invalid = [record for record in records if not record["valid"]]
    parts = [
        f"{len(records)} runs, {len(invalid)} of them invalid. Each cell "
        "holds the median over the seeds of valid runs, and the range.",
        *(_complaint(record) for record in invalid),
    ]
    records = [record for record in records if record["valid"]]
    for deployment, scenario in _distinct(
        (record["deployment"], record["scenario"]) for record in records
    ):
        chosen = [
            record
            for record in records
            if (record["deployment"], record["scenario"])
            == (deployment, scenario)
        ]
        parts.append(_section(f"{deployment}, {scenario}", chosen))
    return "\n\n".join(parts) + "\n"


def paired_ratios(
    records: list[dict], measure: Measure, baseline: str
) -> list[float]:
    """Return ours by the baseline's, seed by seed.

    Parameters
    ----------
    records : list of dict
        Of one deployment and scenario.
    measure : Measure
        What is compared.
    baseline : str
        Name of the other policy.
    """
    theirs = {
        record["seed"]: measure.value(record)
        for record in records
        if record["policy"] == baseline
    }
    return [
        measure.value(record) / theirs[record["seed"]]
        for record in records
        if record["policy"] == OURS
        and theirs.get(record["seed"])
        and measure.value(record) is not None
    ]


def _complaint(record: dict) -> str:
    return (
        f"Invalid: {record['deployment']}, {record['scenario']}, "
        f"{record['policy']}, seed {record['seed']}: stand-in lag "
        f"{record['standin_lag_p99_ms']} ms, caller lag "
        f"{record['caller_lag_p99_ms']} ms, replay mismatch "
        f"{record['replay_mismatch_share']}."
    )


def _section(title: str, records: list[dict]) -> str:
    policies = _distinct(record["policy"] for record in records)
    lines = [
        f"## {title}",
        "",
        "| measure | " + " | ".join(policies) + " |",
        "| --- " * (len(policies) + 1) + "|",
    ]
    for measure in MEASURES:
        cells = [
            _cell(
                [
                    measure.value(record)
                    for record in records
                    if record["policy"] == policy
                ],
                measure.digits,
            )
            for policy in policies
        ]
        lines.append(f"| {measure.name} | " + " | ".join(cells) + " |")
    for name in _COUNTS:
        cells = [
            _cell([r[name] for r in records if r["policy"] == policy], 0)
            for policy in policies
        ]
        lines.append(f"| {name} | " + " | ".join(cells) + " |")
    for baseline in policies:
        if baseline != OURS:
            lines += ["", _ratios(records, baseline)]
    return "\n".join(lines)


def _ratios(records: list[dict], baseline: str) -> str:
    parts = []
    for measure in MEASURES:
        ratios = paired_ratios(records, measure, baseline)
        if ratios:
            parts.append(f"{measure.name} {_cell(ratios, 2)}")
    return f"Ours by {baseline}, paired: " + "; ".join(parts) + "."


def _cell(values: list[float | None], digits: int) -> str:
    known = [value for value in values if value is not None]
    if not known:
        return "none"
    median = statistics.median(known)
    return (
        f"{median:.{digits}f} "
        f"({min(known):.{digits}f} to {max(known):.{digits}f})"
    )


def _distinct(values: Iterable) -> list:
    return list(dict.fromkeys(values))


def _plot(records: list[dict], measure: Measure, path: pathlib.Path) -> None:
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    groups = _distinct((r["deployment"], r["scenario"]) for r in records)
    policies = _distinct(record["policy"] for record in records)
    figure, axes = pyplot.subplots(figsize=(2 + 1.2 * len(groups), 4))
    for index, policy in enumerate(policies):
        places, values = [], []
        for place, group in enumerate(groups):
            for record in records:
                value = measure.value(record)
                key = (record["deployment"], record["scenario"])
                if (key, record["policy"]) == (group, policy) and (
                    value is not None
                ):
                    places.append(place + 0.18 * (index - 1.5))
                    values.append(value)
        axes.plot(places, values, "o", label=policy)
    labels = [f"{deployment}\n{scenario}" for deployment, scenario in groups]
    axes.set_xticks(range(len(groups)), labels, fontsize=7)
    axes.set_ylabel(measure.name)
    axes.legend(fontsize=7)
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)
