"""Wraps a forwarder to record outcomes and latencies of its requests."""

from typing import Protocol

import trio

from wasabiwell_entry.coordination.forwarding.coordinator import ForwardOutcome
from wasabiwell_entry.coordination.forwarding.ports import ResponseSink
from wasabiwell_entry.state.clock import Clock
from wasabiwell_entry.state.counters import ForwardCounters, ForwardKind
from wasabiwell_entry.state.forwarding import Forwarded, ForwardedRequest, ResponseHead
from wasabiwell_entry.state.outcomes import Failed, Refused
from wasabiwell_entry.state.routes import RouteKind
from wasabiwell_entry.state.sizes import size_class

PLAIN = "plain"
"""Size class of requests to plain services."""


class RequestForwarder(Protocol):
    """Interface of forwarders for a front end, with or without metrics."""

    async def forward(self, request: ForwardedRequest, sink: ResponseSink) -> ForwardOutcome:
        """Forward a request and deliver its response to the sink."""


class ObservedForwarder:
    """Forwards requests and counts their outcomes."""

    __slots__ = ("_clock", "_counters", "_inner")

    def __init__(self, inner: RequestForwarder, counters: ForwardCounters, clock: Clock) -> None:
        self._inner = inner
        self._counters = counters
        self._clock = clock

    async def forward(self, request: ForwardedRequest, sink: ResponseSink) -> ForwardOutcome:
        """Forward a request and deliver its response to the sink."""
        observed = _ObservedSink(sink, request, self._counters, self._clock)
        try:
            outcome = await self._inner.forward(request, observed)
        except trio.Cancelled:
            self._counters.callers_left += 1
            raise
        kind = request.route.kind.value
        match outcome:
            case Forwarded(status=status):
                counted = ForwardKind(kind, "answered", str(status))
            case Refused(reason=reason):
                counted = ForwardKind(kind, "refused", reason.value)
            case Failed(reason=reason):
                counted = ForwardKind(kind, "failed", reason.value)
        self._counters.requests[counted] += 1
        return outcome


class _ObservedSink:
    """Delivers a response and records the time to its first chunk and between chunks."""

    __slots__ = ("_clock", "_counters", "_is_stream", "_last", "_received", "_sink", "_size")

    def __init__(
        self,
        sink: ResponseSink,
        request: ForwardedRequest,
        counters: ForwardCounters,
        clock: Clock,
    ) -> None:
        self._sink = sink
        self._counters = counters
        self._clock = clock
        self._received = request.received
        self._last = request.received
        self._is_stream = request.route.kind is RouteKind.STREAM
        self._size = size_class(request.size.prompt).value if request.size is not None else PLAIN

    async def begin(self, head: ResponseHead) -> None:
        """Deliver status and headers."""
        self._last = self._clock.monotonic()
        self._counters.observe_first(self._size, (self._last - self._received).total_seconds())
        await self._sink.begin(head)

    async def send(self, data: bytes) -> None:
        """Deliver the next bytes of the body."""
        if self._is_stream:
            now = self._clock.monotonic()
            self._counters.observe_gap(self._size, (now - self._last).total_seconds())
            self._last = now
        await self._sink.send(data)

    async def finish(self) -> None:
        """Mark the body as complete."""
        await self._sink.finish()

    async def may_buffer(self, size: int) -> bool:
        """Return whether so many bytes of the response may be buffered."""
        return await self._sink.may_buffer(size)

    def release_target(self) -> None:
        """Note that the target has ended its work."""
        self._sink.release_target()
