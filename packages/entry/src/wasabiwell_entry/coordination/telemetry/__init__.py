"""Observes requests on their way through the coordination layer."""

from wasabiwell_entry.coordination.telemetry.observed import (
    ObservedAdmission,
    ObservedDispatcher,
    ObservedEngines,
    ObservedPlain,
    ObservedTable,
    RequestRunner,
)
from wasabiwell_entry.coordination.telemetry.ports import NO_TELEMETRY, NoTelemetry, Telemetry
from wasabiwell_entry.coordination.telemetry.records import RequestLog

__all__ = [
    "NO_TELEMETRY",
    "NoTelemetry",
    "ObservedAdmission",
    "ObservedDispatcher",
    "ObservedEngines",
    "ObservedPlain",
    "ObservedTable",
    "RequestLog",
    "RequestRunner",
    "Telemetry",
]
