"""OTLP over HTTP receiver that stores spans and metrics; `GET /received` returns them."""

import gzip
from typing import Any

import click
import trio
from google.protobuf.json_format import MessageToDict
from opentelemetry.proto.collector.metrics.v1.metrics_service_pb2 import (
    ExportMetricsServiceRequest,
    ExportMetricsServiceResponse,
)
from opentelemetry.proto.collector.trace.v1.trace_service_pb2 import (
    ExportTraceServiceRequest,
    ExportTraceServiceResponse,
)

from wasabiwell_standins.asgi import HttpExchange, serve_http

PROTOBUF = b"application/x-protobuf"


class Receiver:
    """Stores all spans, and the latest metrics of each sender."""

    def __init__(self) -> None:
        self._spans: list[dict[str, Any]] = []
        self._metrics: dict[str, dict[str, Any]] = {}

    async def handle(self, exchange: HttpExchange) -> None:
        """Handle one HTTP request."""
        match exchange.method, exchange.path:
            case "POST", "/v1/traces":
                self._store_spans(ExportTraceServiceRequest.FromString(_body(exchange)))
                reply = ExportTraceServiceResponse().SerializeToString()
                await exchange.reply_bytes(200, reply, PROTOBUF)
            case "POST", "/v1/metrics":
                self._store_metrics(ExportMetricsServiceRequest.FromString(_body(exchange)))
                reply = ExportMetricsServiceResponse().SerializeToString()
                await exchange.reply_bytes(200, reply, PROTOBUF)
            case "GET", "/received":
                await exchange.reply(200, {"spans": self._spans, "metrics": self._metrics})
            case _:
                await exchange.reply(404, {"error": "no such route"})

    def _store_spans(self, request: ExportTraceServiceRequest) -> None:
        for resource in request.resource_spans:
            sender = _sender(resource.resource)
            for scope in resource.scope_spans:
                for span in scope.spans:
                    value = MessageToDict(span)
                    ids = ("trace_id", "span_id", "parent_span_id")
                    value |= {name: getattr(span, name).hex() for name in ids}
                    self._spans.append({"sender": sender, **value})

    def _store_metrics(self, request: ExportMetricsServiceRequest) -> None:
        for resource in request.resource_metrics:
            metrics = self._metrics.setdefault(_sender(resource.resource), {})
            for scope in resource.scope_metrics:
                metrics.update({item.name: MessageToDict(item) for item in scope.metrics})


def _sender(resource: Any) -> str:
    values = {item.key: item.value.string_value for item in resource.attributes}
    return str(values.get("service.instance.id", ""))


def _body(exchange: HttpExchange) -> bytes:
    return (
        gzip.decompress(exchange.body)
        if exchange.header("content-encoding") == "gzip"
        else exchange.body
    )


@click.command()
@click.option("--address", required=True, help="HOST:PORT to serve on.")
def main(address: str) -> None:
    """Run the receiver."""
    host, _, port = address.rpartition(":")
    trio.run(serve_http, Receiver().handle, host, int(port))


if __name__ == "__main__":
    main()
