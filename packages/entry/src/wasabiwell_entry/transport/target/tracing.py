"""Trace context of requests to targets."""

from wasabiwell_entry.coordination.telemetry import Telemetry


def trace_headers(telemetry: Telemetry) -> list[tuple[bytes, bytes]]:
    """Return the W3C trace context headers of the current span; none without telemetry."""
    return [(name.encode(), value.encode()) for name, value in telemetry.headers()]
