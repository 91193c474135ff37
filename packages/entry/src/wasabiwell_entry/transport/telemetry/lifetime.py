"""Starts and stops the telemetry of an entry instance."""

import logging
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from datetime import timedelta

import trio

from wasabiwell_entry.coordination.telemetry import NO_TELEMETRY, Telemetry
from wasabiwell_entry.state import log_events
from wasabiwell_entry.state.reports import StatusReport
from wasabiwell_entry.transport.telemetry.otlp import OtlpTelemetry

PUBLISH_INTERVAL = timedelta(seconds=1)
"""Maximum age of the status report at the time of an export."""


class _LogEventHandler(logging.Handler):
    """Forwards log messages of the OpenTelemetry libraries as log events.

    The libraries log from their own threads, but the log buffer may only be used on the event
    loop's thread.
    """

    def __init__(self) -> None:
        super().__init__(logging.WARNING)
        self._trio_token = trio.lowlevel.current_trio_token()

    def emit(self, record: logging.LogRecord) -> None:
        self._trio_token.run_sync_soon(_emit_telemetry_failed, record.name, record.getMessage())


def _emit_telemetry_failed(library: str, message: str) -> None:
    log_events.emit(log_events.TELEMETRY_FAILED, library=library, message=message)


@asynccontextmanager
async def open_telemetry(
    endpoint: str, interval: timedelta, sample_ratio: float, node_id: str, zone: str
) -> AsyncIterator[Telemetry]:
    """Start the exporters and shut them down at exit; without an endpoint, export nothing."""
    if not endpoint:
        yield NO_TELEMETRY
        return
    handler = _LogEventHandler()
    logger = logging.getLogger("opentelemetry")
    logger.addHandler(handler)
    logger.propagate = False
    telemetry = OtlpTelemetry(endpoint, interval, sample_ratio, node_id, zone)
    try:
        yield telemetry
    finally:
        with trio.CancelScope(shield=True):
            await trio.to_thread.run_sync(telemetry.shutdown)
        logger.removeHandler(handler)


async def publish_reports(telemetry: Telemetry, report: Callable[[], StatusReport]) -> None:
    """Publish status reports to the exporters at a fixed interval until cancelled."""
    if not isinstance(telemetry, OtlpTelemetry):
        return
    while True:
        telemetry.publish(report())
        await trio.sleep(PUBLISH_INTERVAL.total_seconds())
