"""OpenTelemetry meter of the process, its counters and Prometheus page."""

from collections.abc import Callable
from collections.abc import Mapping
import functools

from opentelemetry import metrics
from opentelemetry.exporter import prometheus
from opentelemetry.sdk import metrics as sdk_metrics
import prometheus_client


@functools.cache
def meter() -> metrics.Meter:
    """Return the process's meter; the first call sets up the exporter."""
    reader = prometheus.PrometheusMetricReader()
    provider = sdk_metrics.MeterProvider(metric_readers=[reader])
    metrics.set_meter_provider(provider)
    return metrics.get_meter("toucanrudder")


@functools.cache
def counter(name: str, description: str) -> metrics.Counter:
    """Return the counter of this name; it is created on first use.

    Adding to a counter takes about ten microseconds, so add once per
    request or per batch of events, never per token.
    """
    return meter().create_counter(name, description=description)


@functools.cache
def histogram(name: str, unit: str, description: str) -> metrics.Histogram:
    """Return the histogram of this name; it is created on first use."""
    return meter().create_histogram(name, unit=unit, description=description)


def gauge(
    name: str,
    description: str,
    read: Callable[[], Mapping[str, float]],
    label: str = "state",
) -> None:
    """Register a gauge by state, or other label, read at each scrape."""

    def observe(_) -> list[metrics.Observation]:
        return [
            metrics.Observation(number, {label: state})
            for state, number in read().items()
        ]

    meter().create_observable_gauge(
        name, callbacks=[observe], description=description
    )


def count_refusal(code: str, step: str) -> None:
    """Count a refusal by its code and step."""
    counter("toucanrudder_refusals", "Refused requests").add(
        1, {"code": code, "step": step}
    )


def count_retry(reason: str) -> None:
    """Count a retry by its reason."""
    counter("toucanrudder_retries", "Retries of upstream calls").add(
        1, {"reason": reason}
    )


def page() -> bytes:
    """Return the metrics in the Prometheus text format."""
    meter()
    return prometheus_client.generate_latest()
