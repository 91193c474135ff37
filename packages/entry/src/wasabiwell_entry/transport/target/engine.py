"""HTTP client of engines."""

from collections.abc import AsyncGenerator, AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from datetime import timedelta

import httpcore
import msgspec
import trio

from wasabiwell_entry.coordination.reservations.errors import ReservationRefused, Reserved
from wasabiwell_entry.coordination.targets.errors import LoadUnavailable
from wasabiwell_entry.coordination.targets.ports import CacheEvent, CacheReport, LoadReport
from wasabiwell_entry.coordination.telemetry import NO_TELEMETRY, Telemetry
from wasabiwell_entry.protocol.engine import (
    CacheEventsBody,
    EngineError,
    FrameReader,
    LoadBody,
    RenewalBody,
    ReservationBody,
    ReservationReply,
    encode_attempt,
)
from wasabiwell_entry.state.clock import Clock
from wasabiwell_entry.state.probes import ProbeOutcome, TargetAlive, TargetDown, TargetSilent
from wasabiwell_entry.state.requests import Attempt, EndFrame, StreamInterrupted, StreamItem
from wasabiwell_entry.state.targets import EngineLoad, Target
from wasabiwell_entry.transport.target.bounded import MAX_REPLY_BYTES, bounded_request, read_body
from wasabiwell_entry.transport.target.pools import (
    CONNECTION_ERRORS,
    NOT_SENT_ERRORS,
    TargetPools,
    timeout_extensions,
)
from wasabiwell_entry.transport.target.reads import InterruptibleReads
from wasabiwell_entry.transport.target.tracing import trace_headers

JSON_HEADERS = [(b"content-type", b"application/json")]
READ_TIMEOUT_SECONDS = 600.0
PROBE_TIMEOUT_SECONDS = 0.5
STREAM_SILENCE_TIMEOUT = timedelta(seconds=2)
"""After this time without data the engine is probed; between tokens, the connection is replaced."""
SILENCE_CHECK_INTERVAL = timedelta(milliseconds=500)
FIRST_TOKEN_SILENCE_TIMEOUT = timedelta(seconds=10)
PREFILL_TIME_PER_TOKEN = timedelta(microseconds=200)
"""Added to the first-token timeout for each prompt token: no data arrives during the prefill."""
RESPONSE_HEAD_READS = 1
"""The first read of a stream returns the response head, which has no token."""
QUERY_TIMEOUT_SECONDS = 1.0
RESERVATION_TTL_SECONDS = 30.0


class HttpEngineClient:
    """Runs attempts on engines, reserves KV cache and queries load and cache events."""

    __slots__ = ("_clock", "_pools", "_telemetry")

    def __init__(
        self, pools: TargetPools, clock: Clock, telemetry: Telemetry = NO_TELEMETRY
    ) -> None:
        self._pools = pools
        self._clock = clock
        self._telemetry = telemetry

    @asynccontextmanager
    async def generate(
        self, target: Target, attempt: Attempt
    ) -> AsyncIterator[AsyncIterator[StreamItem]]:
        """Run an attempt; leaving the context closes the connection, which cancels the attempt."""
        reads = InterruptibleReads(self._clock)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch_for_silence, target, attempt, reads)
            items = self._stream_items(target, attempt, reads)
            try:
                yield items
            finally:
                await items.aclose()
            nursery.cancel_scope.cancel()

    async def probe(self, target: Target) -> ProbeOutcome:
        """Check that an engine is alive by requesting its load on a new connection."""
        try:
            async with self._pools.new_connection() as pool:
                await bounded_request(
                    pool,
                    "GET",
                    self._pools.url(target.address, "/load"),
                    extensions=timeout_extensions(PROBE_TIMEOUT_SECONDS),
                )
        except httpcore.TimeoutException:
            return TargetSilent()
        except CONNECTION_ERRORS:
            return TargetDown()
        return TargetAlive()

    async def load(self, target: Target) -> LoadReport | LoadUnavailable:
        """Return the load that an engine reports."""
        try:
            response = await bounded_request(
                self._pools.pool(target.address),
                "GET",
                self._pools.url(target.address, "/load"),
                extensions=timeout_extensions(QUERY_TIMEOUT_SECONDS),
            )
            body = msgspec.json.decode(response.content, type=LoadBody)
        except (*NOT_SENT_ERRORS, *CONNECTION_ERRORS, msgspec.DecodeError, RecursionError) as error:
            return LoadUnavailable(repr(error))
        load = EngineLoad(
            reported=self._clock.monotonic(),
            slots=body.slots,
            running=body.running,
            queued=body.queued,
            total_tokens=body.total_tokens,
            free_tokens=body.free_tokens,
            prefill_tokens=body.prefill_tokens,
        )
        return LoadReport(load, body.leaving)

    async def cache_events(self, target: Target, after: int) -> CacheReport | LoadUnavailable:
        """Return the changes of an engine's prefix cache after event number `after`."""
        try:
            response = await bounded_request(
                self._pools.pool(target.address),
                "GET",
                self._pools.url(target.address, f"/cache-events?after={after}"),
                extensions=timeout_extensions(QUERY_TIMEOUT_SECONDS),
            )
            body = msgspec.json.decode(response.content, type=CacheEventsBody)
        except (*NOT_SENT_ERRORS, *CONNECTION_ERRORS, msgspec.DecodeError, RecursionError) as error:
            return LoadUnavailable(repr(error))
        events = tuple(CacheEvent(event.block, event.kind == "stored") for event in body.events)
        return CacheReport(events, body.last)

    async def reserve(
        self, target: Target, owner: str, tokens: int
    ) -> Reserved | ReservationRefused:
        """Reserve KV cache for `tokens` tokens."""
        body = msgspec.json.encode(ReservationBody(owner, tokens, RESERVATION_TTL_SECONDS))
        try:
            async with self._pools.new_connection() as pool:
                response = await bounded_request(
                    pool,
                    "POST",
                    self._pools.url(target.address, "/v1/reservations"),
                    headers=JSON_HEADERS,
                    content=body,
                    extensions=timeout_extensions(QUERY_TIMEOUT_SECONDS),
                )
            if response.status != 200:
                return ReservationRefused(_error_text(response.status, response.content))
            reply = msgspec.json.decode(response.content, type=ReservationReply)
        except (*NOT_SENT_ERRORS, *CONNECTION_ERRORS, msgspec.DecodeError, RecursionError) as error:
            return ReservationRefused(repr(error))
        return Reserved(reply.reservation_id)

    async def renew(self, target: Target, reservation_id: str) -> None:
        """Renew a reservation; a failure is ignored, as the next renewal or the expiry follows."""
        body = msgspec.json.encode(RenewalBody(RESERVATION_TTL_SECONDS))
        try:
            await bounded_request(
                self._pools.pool(target.address),
                "PUT",
                self._pools.url(target.address, f"/v1/reservations/{reservation_id}"),
                headers=JSON_HEADERS,
                content=body,
                extensions=timeout_extensions(QUERY_TIMEOUT_SECONDS),
            )
        except (*NOT_SENT_ERRORS, *CONNECTION_ERRORS):
            return

    async def release(self, target: Target, reservation_id: str) -> None:
        """Release a reservation; a failure is ignored, as the reservation expires."""
        try:
            await bounded_request(
                self._pools.pool(target.address),
                "DELETE",
                self._pools.url(target.address, f"/v1/reservations/{reservation_id}"),
                extensions=timeout_extensions(QUERY_TIMEOUT_SECONDS),
            )
        except (*NOT_SENT_ERRORS, *CONNECTION_ERRORS):
            return

    async def _watch_for_silence(
        self, target: Target, attempt: Attempt, reads: InterruptibleReads
    ) -> None:
        """Probe the engine while no data arrives; interrupt the read if engine or stream fails."""
        while True:
            await self._clock.sleep(SILENCE_CHECK_INTERVAL)
            started_at = reads.started_at
            if started_at is None or self._clock.monotonic() - started_at < STREAM_SILENCE_TIMEOUT:
                continue
            match await self.probe(target):
                case TargetAlive():
                    silence_timeout = _silence_timeout(attempt, reads)
                    if self._clock.monotonic() - started_at < silence_timeout:
                        continue
                    interruption = StreamInterrupted(
                        "the stream sends nothing, but the engine responds", silent=True
                    )
                case TargetDown() | TargetSilent():
                    interruption = StreamInterrupted(
                        "the engine does not respond", target_lost=True
                    )
            if reads.started_at == started_at:
                reads.interrupt(interruption)
                await self._cancel(target, attempt.attempt_id)

    async def _cancel(self, target: Target, attempt_id: str) -> None:
        """Cancel an attempt on another connection; if this fails, the engine ends it later."""
        try:
            await bounded_request(
                self._pools.pool(target.address),
                "POST",
                self._pools.url(target.address, "/v1/cancel"),
                headers=JSON_HEADERS,
                content=msgspec.json.encode({"attempt_id": attempt_id}),
                extensions=timeout_extensions(QUERY_TIMEOUT_SECONDS),
            )
        except (*NOT_SENT_ERRORS, *CONNECTION_ERRORS):
            return

    async def _stream_items(
        self, target: Target, attempt: Attempt, reads: InterruptibleReads
    ) -> AsyncGenerator[StreamItem, None]:
        # Each attempt has a connection of its own: on a kept one, an answer that the engine wrote late
        # or twice would be taken for the answer to this attempt, for example a refusal.
        pool = httpcore.AsyncConnectionPool(ssl_context=self._pools.tls)
        request = pool.stream(
            "POST",
            self._pools.url(target.address, "/v1/generate"),
            headers=[*JSON_HEADERS, *trace_headers(self._telemetry)],
            content=encode_attempt(attempt),
            extensions=timeout_extensions(READ_TIMEOUT_SECONDS),
        )
        try:
            async with AsyncExitStack() as stack:
                await stack.enter_async_context(pool)
                response = await reads.read(lambda: stack.enter_async_context(request))
                if isinstance(response, StreamInterrupted):
                    yield response
                    return
                async for item in _read_response(response, attempt.attempt_id, reads):
                    yield item
        except NOT_SENT_ERRORS as error:
            yield StreamInterrupted(repr(error), refused=True, target_lost=True)
        except CONNECTION_ERRORS as error:
            yield StreamInterrupted(repr(error), target_lost=True)


def _silence_timeout(attempt: Attempt, reads: InterruptibleReads) -> timedelta:
    """Return how long an engine that responds to probes may send no data."""
    if reads.completed > RESPONSE_HEAD_READS:
        return STREAM_SILENCE_TIMEOUT
    return FIRST_TOKEN_SILENCE_TIMEOUT + attempt.request.prompt_tokens * PREFILL_TIME_PER_TOKEN


async def _read_response(
    response: httpcore.Response, attempt_id: str, reads: InterruptibleReads
) -> AsyncIterator[StreamItem]:
    if response.status != 200:
        content = await read_body(response, MAX_REPLY_BYTES)
        refused = response.status in (409, 413, 429, 503)
        yield StreamInterrupted(_error_text(response.status, content), refused=refused)
        return
    reader = FrameReader(attempt_id)
    chunks = aiter(response.aiter_stream())
    while True:
        data = await reads.read(lambda: anext(chunks, None))
        if isinstance(data, StreamInterrupted):
            yield data
            return
        if data is None:
            break
        for item in reader.feed(data):
            yield item
            if isinstance(item, EndFrame | StreamInterrupted):
                return
    yield StreamInterrupted("the engine closed the stream before the end frame", target_lost=True)


def _error_text(status: int, content: bytes) -> str:
    try:
        return f"status {status}: {msgspec.json.decode(content, type=EngineError).error}"
    except (msgspec.DecodeError, RecursionError):
        return f"status {status}"
