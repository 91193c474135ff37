"""HTTP client of plain services."""

import ssl

import httpcore
import trio

from wasabiwell_entry.coordination.dispatch.errors import CallInterrupted, CallNotSent
from wasabiwell_entry.coordination.telemetry import NO_TELEMETRY, Telemetry
from wasabiwell_entry.state.clock import Clock
from wasabiwell_entry.state.outcomes import ServiceResponse
from wasabiwell_entry.state.requests import ServiceCall
from wasabiwell_entry.state.targets import Target
from wasabiwell_entry.transport.target.bounded import bounded_request
from wasabiwell_entry.transport.target.pools import (
    CONNECT_TIMEOUT_SECONDS,
    CONNECTION_ERRORS,
    timeout_extensions,
)
from wasabiwell_entry.transport.target.streams import EndRecordingStream
from wasabiwell_entry.transport.target.tracing import trace_headers

MAX_RESPONSE_BYTES = 16 * 1024 * 1024
"""Largest response of a plain service; a longer one counts as interrupted."""

VALID_STATUSES = range(100, 600)
"""RFC 9110, section 15, has a client handle any other status as a failure of the server."""
SUCCESS = range(200, 300)
NO_CONTENT = 204


class HttpPlainClient:
    """Sends calls to plain services, each on a new connection.

    With a new connection it is certain whether a call was sent. With a reused connection it is
    not, if the target closes the connection at the same moment.
    """

    __slots__ = ("_clock", "_telemetry", "_tls")

    def __init__(
        self,
        clock: Clock,
        telemetry: Telemetry = NO_TELEMETRY,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self._clock = clock
        self._tls = tls
        self._telemetry = telemetry

    async def call(
        self, target: Target, call: ServiceCall
    ) -> ServiceResponse | CallNotSent | CallInterrupted:
        """Send a call once, and only before its deadline."""
        host, _, port = target.address.rpartition(":")
        try:
            stream = await httpcore.TrioBackend().connect_tcp(
                host, int(port), timeout=min(CONNECT_TIMEOUT_SECONDS, self._remaining_seconds(call))
            )
            if self._tls is not None:
                stream = await stream.start_tls(self._tls, host, CONNECT_TIMEOUT_SECONDS)
        except (httpcore.ConnectError, httpcore.ConnectTimeout) as error:
            return CallNotSent(repr(error))
        if self._clock.monotonic() >= call.deadline:
            # The process may have been paused while it connected.
            await stream.aclose()
            return CallNotSent("the deadline passed before the call was sent")
        scheme = "http" if self._tls is None else "https"
        origin = httpcore.Origin(scheme.encode(), host.encode(), int(port))
        recorded = EndRecordingStream(stream)
        connection = httpcore.AsyncHTTP11Connection(origin, recorded)
        try:
            response = await bounded_request(
                connection,
                call.method,
                f"{scheme}://{target.address}{call.path}",
                headers=[*_headers(call), *trace_headers(self._telemetry)],
                content=call.body,
                extensions=timeout_extensions(self._remaining_seconds(call)),
                max_bytes=MAX_RESPONSE_BYTES,
            )
        except CONNECTION_ERRORS as error:
            return CallInterrupted(repr(error))
        else:
            if recorded.reset_before_end:
                return CallInterrupted("the connection was reset before the end of the response")
        finally:
            with trio.CancelScope(shield=True):
                await connection.aclose()
        if response.status not in VALID_STATUSES:
            return CallInterrupted(f"status {response.status} is not between 100 and 599")
        framing_error = _find_framing_error(call.method, response)
        if framing_error is not None:
            return CallInterrupted(framing_error)
        return ServiceResponse(response.status, _content_type(response), response.content)

    def _remaining_seconds(self, call: ServiceCall) -> float:
        return max(0.001, (call.deadline - self._clock.monotonic()).total_seconds())


def _headers(call: ServiceCall) -> list[tuple[bytes, bytes]]:
    headers = [(b"x-request-id", call.request_id.encode())]
    if call.content_type:
        headers.append((b"content-type", call.content_type.encode()))
    if call.idempotency_key is not None:
        headers.append((b"idempotency-key", call.idempotency_key.encode()))
    return headers


def _find_framing_error(method: str, response: httpcore.Response) -> str | None:
    """Return why a response that was read to its end may not be the whole one."""
    names = {name.lower() for name, _ in response.headers}
    framing = names & {b"content-length", b"transfer-encoding"}
    if len(framing) > 1:
        # Chunks go before a length, but RFC 9112 has such a message handled as an error.
        return "a length beside a transfer encoding"
    has_body = method != "HEAD" and response.status in SUCCESS and response.status != NO_CONTENT
    if has_body and not framing and not response.content:
        # Without a length or chunks, a target that ends after its head looks like an empty body.
        return "the connection was closed before a body"
    return None


def _content_type(response: httpcore.Response) -> str:
    for name, value in response.headers:
        if name.lower() == b"content-type":
            return value.decode("latin-1")
    return "application/octet-stream"
