"""OpenTelemetry traces and metrics, exported by OTLP over HTTP.

The SDK exports from its own threads, so an export never blocks the event loop. These threads read
the metric values from the latest status report, which is immutable.
"""

from collections.abc import Callable, Iterable, Iterator
from contextlib import AbstractContextManager, contextmanager
from datetime import timedelta

from opentelemetry import trace
from opentelemetry.context import Context
from opentelemetry.exporter.otlp.proto.http.metric_exporter import OTLPMetricExporter
from opentelemetry.exporter.otlp.proto.http.trace_exporter import OTLPSpanExporter
from opentelemetry.metrics import CallbackOptions, Meter, Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.export import PeriodicExportingMetricReader
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import TracerProvider
from opentelemetry.sdk.trace.export import BatchSpanProcessor
from opentelemetry.sdk.trace.sampling import ParentBasedTraceIdRatio
from opentelemetry.trace.propagation.tracecontext import TraceContextTextMapPropagator

from wasabiwell_entry.coordination.telemetry.ports import Attributes, Headers
from wasabiwell_entry.state.reports import StatusReport

SERVICE_NAME = "wasabiwell"
FIRST_TOKEN_BOUNDS_SECONDS = (0.05, 0.1, 0.2, 0.4, 0.86, 1.5, 3.0, 6.0, 15.0, 60.0, 300.0, 900.0)
SLOWDOWN_BOUNDS = (1.0, 1.05, 1.15, 1.3, 1.5, 2.0, 3.0, 5.0, 10.0, 30.0)
EXPORT_TIMEOUT = timedelta(seconds=2)
"""Limits how long an unresponsive receiver delays the shutdown."""

ReadValues = Callable[[StatusReport], Iterable[tuple[int, dict[str, str]]]]


class OtlpTelemetry:
    """Records spans and latencies, and exports the values of status reports as metrics."""

    __slots__ = (
        "_first_token",
        "_meter_provider",
        "_propagator",
        "_report",
        "_slowdown",
        "_tracer",
        "_tracer_provider",
    )

    def __init__(
        self, endpoint: str, interval: timedelta, sample_ratio: float, node_id: str, zone: str
    ) -> None:
        base = endpoint.rstrip("/")
        timeout = EXPORT_TIMEOUT.total_seconds()
        resource = Resource(
            {
                "service.name": SERVICE_NAME,
                "service.instance.id": node_id,
                "wasabiwell.zone": zone,
            }
        )
        self._report: StatusReport | None = None
        self._propagator = TraceContextTextMapPropagator()
        self._tracer_provider = TracerProvider(
            resource=resource,
            sampler=ParentBasedTraceIdRatio(sample_ratio),
            shutdown_on_exit=False,
        )
        self._tracer_provider.add_span_processor(
            BatchSpanProcessor(
                OTLPSpanExporter(endpoint=f"{base}/v1/traces", timeout=timeout),
                schedule_delay_millis=interval.total_seconds() * 1000,
            )
        )
        reader = PeriodicExportingMetricReader(
            OTLPMetricExporter(endpoint=f"{base}/v1/metrics", timeout=timeout),
            export_interval_millis=interval.total_seconds() * 1000,
        )
        self._meter_provider = MeterProvider([reader], resource=resource, shutdown_on_exit=False)
        self._tracer = self._tracer_provider.get_tracer(SERVICE_NAME)
        meter = self._meter_provider.get_meter(SERVICE_NAME)
        self._first_token = meter.create_histogram(
            "wasabiwell.first_token",
            "s",
            "time from a request's arrival to its first token",
            explicit_bucket_boundaries_advisory=FIRST_TOKEN_BOUNDS_SECONDS,
        )
        self._slowdown = meter.create_histogram(
            "wasabiwell.slowdown",
            "1",
            "time to first token divided by the time without the wait for admission",
            explicit_bucket_boundaries_advisory=SLOWDOWN_BOUNDS,
        )
        self._register_observables(meter)

    def publish(self, report: StatusReport) -> None:
        """Set the report that the metrics are read from."""
        self._report = report

    def shutdown(self) -> None:
        """Export the remaining data and stop the exporter threads; blocks."""
        self._meter_provider.shutdown(timeout_millis=EXPORT_TIMEOUT.total_seconds() * 1000)
        self._tracer_provider.shutdown()

    @contextmanager
    def request_span(
        self, name: str, traceparent: str | None, tracestate: str | None
    ) -> Iterator[None]:
        """Open the span of a request, as a child of the trace context that the caller sent."""
        carrier = {"traceparent": traceparent or "", "tracestate": tracestate or ""}
        parent = self._propagator.extract(carrier, Context()) if traceparent else Context()
        with self._tracer.start_as_current_span(
            name, context=parent, kind=trace.SpanKind.SERVER, record_exception=False
        ):
            yield

    def span(self, name: str, attributes: Attributes) -> AbstractContextManager[None]:
        """Open the span of an outgoing call, as a child of the current span."""
        return _client_span(self._tracer, name, attributes)

    def annotate(self, attributes: Attributes) -> None:
        """Add attributes to the current span."""
        trace.get_current_span().set_attributes(attributes)

    def headers(self) -> Headers:
        """Return the W3C trace context headers of the current span; none without a span."""
        carrier: dict[str, str] = {}
        self._propagator.inject(carrier)
        return list(carrier.items())

    def first_token(self, service: str, size: str, seconds: float) -> None:
        """Record the time from a request's arrival to its first token."""
        self._first_token.record(seconds, {"service": service, "size": size})

    def slowdown(self, service: str, size: str, ratio: float) -> None:
        """Record the time to first token, divided by the time without admission wait."""
        self._slowdown.record(ratio, {"service": service, "size": size})

    def _register_observables(self, meter: Meter) -> None:
        for name, unit, read_values in COUNTERS:
            meter.create_observable_counter(name, [self._observable_callback(read_values)], unit)
        for name, unit, read_values in GAUGES:
            meter.create_observable_gauge(name, [self._observable_callback(read_values)], unit)

    def _observable_callback(
        self, read_values: ReadValues
    ) -> Callable[[CallbackOptions], Iterable[Observation]]:
        def observe(_: CallbackOptions) -> Iterable[Observation]:
            report = self._report
            if report is None:
                return []
            return [Observation(value, attributes) for value, attributes in read_values(report)]

        return observe


@contextmanager
def _client_span(tracer: trace.Tracer, name: str, attributes: Attributes) -> Iterator[None]:
    with tracer.start_as_current_span(
        name, kind=trace.SpanKind.CLIENT, attributes=dict(attributes), record_exception=False
    ):
        yield


def _requests(report: StatusReport) -> Iterable[tuple[int, dict[str, str]]]:
    return (
        (item.count, {"kind": item.kind, "outcome": item.outcome, "run": item.run})
        for item in report.requests
    )


def _store_calls(report: StatusReport) -> Iterable[tuple[int, dict[str, str]]]:
    return (
        (item.count, {"operation": item.operation, "outcome": item.outcome})
        for item in report.store_calls
    )


def _control_messages(report: StatusReport) -> Iterable[tuple[int, dict[str, str]]]:
    yield report.control.sent_messages, {"direction": "sent"}
    yield report.control.received_messages, {"direction": "received"}


def _control_bytes(report: StatusReport) -> Iterable[tuple[int, dict[str, str]]]:
    yield report.control.sent_bytes, {"direction": "sent"}
    yield report.control.received_bytes, {"direction": "received"}


COUNTERS: tuple[tuple[str, str, ReadValues], ...] = (
    ("wasabiwell.requests", "{request}", _requests),
    ("wasabiwell.retries", "{retry}", lambda report: [(report.retries, {})]),
    ("wasabiwell.tokens.relayed", "{token}", lambda report: [(report.tokens_relayed, {})]),
    ("wasabiwell.store.calls", "{call}", _store_calls),
    ("wasabiwell.control.messages", "{message}", _control_messages),
    ("wasabiwell.control.io", "By", _control_bytes),
)
GAUGES: tuple[tuple[str, str, ReadValues], ...] = (
    ("wasabiwell.streams.open", "{stream}", lambda report: [(report.open_streams, {})]),
    ("wasabiwell.requests.open", "{request}", lambda report: [(report.open_requests, {})]),
    (
        "wasabiwell.queue.waiting",
        "{request}",
        lambda report: [(item.waiting, {"size": item.size}) for item in report.queues or ()],
    ),
    (
        "wasabiwell.configuration.version",
        "{version}",
        lambda report: [(report.configuration_version, {})],
    ),
)
