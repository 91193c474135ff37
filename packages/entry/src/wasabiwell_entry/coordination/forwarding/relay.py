"""Relays the response of one attempt from a target or a peer to the caller."""

from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager
from dataclasses import dataclass

from wasabiwell_entry.coordination.forwarding.const import (
    MAX_BUFFERED_BYTES,
    MAX_EVENTS_BEFORE_CRASH,
)
from wasabiwell_entry.coordination.forwarding.errors import AttemptOutcome, Buffered, Delivered
from wasabiwell_entry.coordination.forwarding.ports import ResponseSink
from wasabiwell_entry.coordination.forwarding.progress import Progress
from wasabiwell_entry.coordination.forwarding.silence_timeout import SilenceTimeout
from wasabiwell_entry.coordination.placement.ledger import OpenPlacement, PlacementLedger
from wasabiwell_entry.coordination.quarantine.crashes import CrashCounts
from wasabiwell_entry.state.forwarding import (
    AttemptItem,
    Forwarded,
    ForwardedRequest,
    NotRun,
    NotSent,
    ResponseChunk,
    ResponseEnd,
    ResponseEvent,
    ResponseHead,
    ResponseInterrupted,
)
from wasabiwell_entry.state.routes import RouteKind


@dataclass(slots=True)
class OpenRelay:
    """A request that a peer runs; the peer records its placement."""

    events: int = 0


class ResponseRelay:
    """Sends the events of streams on as they arrive, and buffers other responses.

    Nothing of a response is sent on that is not the continuation of what the caller has.
    """

    __slots__ = ("_crashes", "_ledger")

    def __init__(self, ledger: PlacementLedger, crashes: CrashCounts) -> None:
        self._ledger = ledger
        self._crashes = crashes

    async def run(
        self,
        request: ForwardedRequest,
        items_of_attempt: AbstractAsyncContextManager[AsyncIterator[AttemptItem]],
        sink: ResponseSink,
        progress: Progress,
        opened: OpenPlacement | OpenRelay,
        silence_timeout: SilenceTimeout,
    ) -> AttemptOutcome:
        """Send a request once, and return how the attempt ended."""
        head: ResponseHead | None = None
        buffer: list[bytes] = []
        buffered_bytes = 0
        unbuffered = False
        # Until an event of a resumed stream has an id, nothing shows that it is the rest.
        continued = not progress.response_started
        async with items_of_attempt as items:
            async for item in items:
                match item:
                    case ResponseHead():
                        head = item
                        silence_timeout.begin()
                        interruption = _check_continuation(request, head, progress)
                        if interruption is not None:
                            return interruption
                        if is_stream(request, head):
                            self._record_begin(opened)
                            await _begin_response(head, sink, progress)
                    case ResponseEvent(event_id=event_id, data=data):
                        continued = continued or event_id is not None
                        if not continued and item.has_data:
                            return ResponseInterrupted(
                                "an event without an id in place of the rest of the stream"
                            )
                        interruption = _check_order(event_id, progress)
                        if interruption is not None:
                            return interruption
                        self._record_event(request, opened)
                        await sink.send(data)
                    case ResponseChunk(data=data) if unbuffered:
                        await sink.send(data)
                    case ResponseChunk(data=data):
                        buffer.append(data)
                        buffered_bytes += len(data)
                        if head is not None and (
                            buffered_bytes > MAX_BUFFERED_BYTES
                            or not await sink.may_buffer(buffered_bytes)
                        ):
                            await _begin_response(head, sink, progress)
                            data = b"".join(buffer)
                            buffer.clear()
                            unbuffered = True
                            await sink.send(data)
                            # The response cannot be retried any more, so nothing is buffered.
                            await sink.may_buffer(0)
                    case ResponseEnd():
                        if head is None:
                            return ResponseInterrupted("the response has no head")
                        if _has_no_event(request, head, progress, opened):
                            return ResponseInterrupted("the stream has no event")
                        if not progress.response_started:
                            return Buffered(head, b"".join(buffer))
                        if buffer:
                            await sink.send(b"".join(buffer))
                        await sink.finish()
                        return Delivered(head.status)
                    case NotSent() | NotRun() | ResponseInterrupted():
                        return item
        return ResponseInterrupted("the response has no end")

    def _record_begin(self, opened: OpenPlacement | OpenRelay) -> None:
        match opened:
            case OpenPlacement():
                self._ledger.start_decode(opened)
            case OpenRelay():
                pass

    def _record_event(self, request: ForwardedRequest, opened: OpenPlacement | OpenRelay) -> None:
        match opened:
            case OpenPlacement():
                self._ledger.record_event(opened)
                if opened.events == MAX_EVENTS_BEFORE_CRASH + 1:
                    # A request that progresses does not crash its target, so it clears its prompt
                    # parts before it ends.
                    self._crashes.record_success(request)
            case OpenRelay():
                opened.events += 1


async def deliver_buffered(buffered: Buffered, sink: ResponseSink) -> Forwarded:
    """Deliver a buffered response to the sink."""
    sink.release_target()
    await sink.begin(buffered.head)
    if buffered.body:
        await sink.send(buffered.body)
    await sink.finish()
    return Forwarded(buffered.head.status)


async def _begin_response(head: ResponseHead, sink: ResponseSink, progress: Progress) -> None:
    """Deliver the head unless an earlier attempt has delivered one before it was resumed."""
    if not progress.response_started:
        progress.head = head
        await sink.begin(head)


def is_stream(request: ForwardedRequest, head: ResponseHead) -> bool:
    """Return whether a response is a stream of events."""
    return request.route.kind is RouteKind.STREAM and head.status < 300


def _has_no_event(
    request: ForwardedRequest,
    head: ResponseHead,
    progress: Progress,
    opened: OpenPlacement | OpenRelay,
) -> bool:
    """Return whether a stream ended without any event, in this attempt or before it."""
    return is_stream(request, head) and opened.events == 0 and progress.last_event is None


def _check_continuation(
    request: ForwardedRequest, head: ResponseHead, progress: Progress
) -> ResponseInterrupted | None:
    """Return an error when a response cannot be the rest of the one that was begun.

    The body of a failure or of another kind of success would become a part of the caller's stream,
    and an empty one would end the stream as complete.
    """
    if progress.head is None:
        return None
    media_type = _media_type(head)
    if (
        is_stream(request, head)
        and head.status == progress.head.status
        and media_type == _media_type(progress.head)
    ):
        return None
    return ResponseInterrupted(
        f"status {head.status} with {media_type or 'no type'} in place of the rest of the stream"
    )


def _media_type(head: ResponseHead) -> str:
    """Return the media type of a body without its parameters; empty if there is none."""
    for name, value in head.headers:
        if name.lower() == b"content-type":
            return value.partition(b";")[0].strip().lower().decode("latin-1")
    return ""


def _check_order(event_id: int | None, progress: Progress) -> ResponseInterrupted | None:
    """Record the id of an event, or return an error when it does not follow the last one."""
    if event_id is None:
        return None
    if progress.last_event is not None and event_id != progress.last_event + 1:
        return ResponseInterrupted(f"event {event_id} came after event {progress.last_event}")
    progress.last_event = event_id
    return None
