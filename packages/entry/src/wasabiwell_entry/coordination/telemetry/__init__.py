"""Records, metrics and traces of requests in the coordination layer."""

from wasabiwell_entry.coordination.telemetry.instrumented import (
    InstrumentedAdmission,
    InstrumentedDispatcher,
    InstrumentedEngines,
    InstrumentedPlainServices,
    InstrumentedTable,
    RequestRunner,
)
from wasabiwell_entry.coordination.telemetry.ports import NO_TELEMETRY, NoTelemetry, Telemetry
from wasabiwell_entry.coordination.telemetry.records import RequestLog

__all__ = [
    "NO_TELEMETRY",
    "NoTelemetry",
    "InstrumentedAdmission",
    "InstrumentedDispatcher",
    "InstrumentedEngines",
    "InstrumentedPlainServices",
    "InstrumentedTable",
    "RequestLog",
    "RequestRunner",
    "Telemetry",
]
