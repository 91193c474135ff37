"""Encodes counters and gauges for Prometheus; its library is loaded by the first scrape."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import TYPE_CHECKING

from wasabiwell_entry.state.counters import ForwardCounters, Histogram

if TYPE_CHECKING:
    from prometheus_client import Metric

CONTENT_TYPE = b"text/plain; version=0.0.4; charset=utf-8"
PREFIX = "wasabiwell"


@dataclass(frozen=True, slots=True)
class Gauge:
    """A gauge that is read at each scrape; `read` returns its values by label value."""

    name: str
    help_text: str
    label: str
    read: Callable[[], dict[str, float]]


@dataclass(frozen=True, slots=True)
class MetricSources:
    """Counters and gauges to expose."""

    counters: ForwardCounters
    gauges: tuple[Gauge, ...]


def render_metrics(sources: MetricSources) -> bytes:
    """Return all metrics in the Prometheus text format."""
    # The library takes 4 MB, which processes that are never scraped should not use.
    from prometheus_client import CollectorRegistry, generate_latest

    registry = CollectorRegistry(auto_describe=False)
    registry.register(_Collector(sources))
    return generate_latest(registry)


class _Collector:
    """Provides the metrics to the library; implements its `Collector`."""

    def __init__(self, sources: MetricSources) -> None:
        self._sources = sources

    def collect(self) -> Iterator["Metric"]:
        """Return the metrics."""
        from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily

        counters = self._sources.counters
        requests = CounterMetricFamily(
            f"{PREFIX}_requests", "Requests of callers.", labels=["kind", "outcome", "reason"]
        )
        for key, count in counters.requests.items():
            requests.add_metric([key.kind, key.outcome, key.reason], count)
        yield requests
        sends = CounterMetricFamily(
            f"{PREFIX}_sends", "Sends to targets by the verdict on the target.", labels=["verdict"]
        )
        for verdict, count in counters.sends.items():
            sends.add_metric([verdict], count)
        yield sends
        relays = CounterMetricFamily(
            f"{PREFIX}_relays", "Sends through peers by result.", labels=["result"]
        )
        for result, count in counters.relays.items():
            relays.add_metric([result], count)
        yield relays
        store_calls = CounterMetricFamily(
            f"{PREFIX}_store_calls", "Calls to the platform's store.", labels=["call", "result"]
        )
        for (call, result), count in counters.store_calls.items():
            store_calls.add_metric([call, result], count)
        yield store_calls
        yield CounterMetricFamily(
            f"{PREFIX}_lost_helpers",
            "Helpers that leads of split prompts have called gone.",
            value=counters.lost_helpers,
        )
        yield CounterMetricFamily(
            f"{PREFIX}_callers_left", "Callers that left early.", value=counters.callers_left
        )
        yield CounterMetricFamily(
            f"{PREFIX}_failed_connections",
            "Connections of callers that ended with an error of their own.",
            value=counters.failed_connections,
        )
        failed_notices = CounterMetricFamily(
            f"{PREFIX}_failed_notices",
            "Datagrams that could not be decoded or applied.",
            labels=["reason"],
        )
        for reason, count in counters.failed_notices.items():
            failed_notices.add_metric([reason], count)
        yield failed_notices
        failed_tasks = CounterMetricFamily(
            f"{PREFIX}_failed_tasks",
            "Background tasks that failed and were started again.",
            labels=["task"],
        )
        for task, count in counters.failed_tasks.items():
            failed_tasks.add_metric([task], count)
        yield failed_tasks
        yield _histogram(
            "first_event_seconds", "Time to the first event or the answer.", counters.first_event
        )
        yield _histogram("event_gap_seconds", "Time between events.", counters.event_gap)
        for gauge in self._sources.gauges:
            family = GaugeMetricFamily(
                f"{PREFIX}_{gauge.name}", gauge.help_text, labels=[gauge.label]
            )
            for label, value in gauge.read().items():
                family.add_metric([label], value)
            yield family


def _histogram(name: str, help_text: str, histograms: dict[str, Histogram]) -> "Metric":
    from prometheus_client.core import HistogramMetricFamily

    family = HistogramMetricFamily(f"{PREFIX}_{name}", help_text, labels=["size"])
    for size, histogram in sorted(histograms.items()):
        buckets, cumulative = [], 0
        for bound, count in zip((*histogram.bounds, float("inf")), histogram.counts, strict=True):
            cumulative += count
            buckets.append(("+Inf" if bound == float("inf") else str(bound), cumulative))
        family.add_metric([size], buckets, histogram.total)
    return family
