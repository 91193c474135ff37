"""Interface to traces and metrics, and an implementation that does nothing."""

from collections.abc import Mapping
from contextlib import AbstractContextManager, nullcontext
from typing import Protocol

Headers = list[tuple[str, str]]
Attributes = Mapping[str, str | int | float | bool]


class Telemetry(Protocol):
    """Receives spans and measurements."""

    def request_span(
        self, name: str, traceparent: str | None, tracestate: str | None
    ) -> AbstractContextManager[None]:
        """Open the span of a caller's request, a child of the trace context the caller sent."""

    def span(self, name: str, attributes: Attributes) -> AbstractContextManager[None]:
        """Open a child of the current span."""

    def annotate(self, attributes: Attributes) -> None:
        """Add attributes to the current span."""

    def headers(self) -> Headers:
        """Return the W3C trace context headers of the current span, or no headers without one."""

    def first_token(self, service: str, size: str, seconds: float) -> None:
        """Record the time from a request's arrival to its first token."""

    def slowdown(self, service: str, size: str, ratio: float) -> None:
        """Record the time to first token divided by the same time without the admission wait."""


_NO_SPAN = nullcontext()


class NoTelemetry:
    """Records nothing."""

    __slots__ = ()

    def request_span(
        self, name: str, traceparent: str | None, tracestate: str | None
    ) -> AbstractContextManager[None]:
        """Return a context that does nothing."""
        return _NO_SPAN

    def span(self, name: str, attributes: Attributes) -> AbstractContextManager[None]:
        """Return a context that does nothing."""
        return _NO_SPAN

    def annotate(self, attributes: Attributes) -> None:
        """Do nothing."""

    def headers(self) -> Headers:
        """Return no headers."""
        return []

    def first_token(self, service: str, size: str, seconds: float) -> None:
        """Do nothing."""

    def slowdown(self, service: str, size: str, ratio: float) -> None:
        """Do nothing."""


NO_TELEMETRY = NoTelemetry()
