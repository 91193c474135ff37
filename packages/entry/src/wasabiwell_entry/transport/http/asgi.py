"""ASGI types, and the HTTP request and response as the handlers use them."""

import math
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from typing import Any
from urllib.parse import parse_qs

import trio

from wasabiwell_entry.coordination.intake.account import Holding
from wasabiwell_entry.protocol.problem import Problem
from wasabiwell_entry.state.outcomes import Finding, Reason, Refused
from wasabiwell_entry.transport.http.intake import INTAKE, REFUSED, ConnectionIntake

Scope = dict[str, Any]
Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]

END_SECONDS = 10.0
"""How long the last bytes of a response may wait for the caller."""
BLOCK_BYTES = 16_384
SEND_BYTES = 65_536
"""Part of a large response that is sent at once: the server copies a part to frame it."""
MAX_LENGTH_DIGITS = 19
LAST_READ_SECONDS = 0.05
"""How long a body is read at its deadline, although the process may have run late."""
JSON_TYPE = (b"content-type", b"application/json")


class BodyBuffer:
    """Parts of a body in blocks of a similar size.

    A chunk of one byte takes 50 bytes as an object, so small ones are merged. One buffer for the
    whole body would be moved as it grows, which leaves gaps in the memory of the process.
    """

    __slots__ = ("_blocks", "_last", "size")

    def __init__(self) -> None:
        self.size = 0
        self._blocks: list[bytes] = []
        self._last = bytearray()

    def add(self, chunk: bytes) -> None:
        """Append a chunk."""
        self.size += len(chunk)
        if len(chunk) >= BLOCK_BYTES and not self._last:
            self._blocks.append(chunk)
            return
        self._last += chunk
        if len(self._last) >= BLOCK_BYTES:
            self._blocks.append(bytes(self._last))
            self._last.clear()

    def joined(self) -> bytes:
        """Return the whole body."""
        return b"".join([*self._blocks, self._last])


class HttpExchange:
    """One HTTP request and its response."""

    __slots__ = (
        "_closing",
        "_finished",
        "_has_unread_body",
        "_receive",
        "_scope",
        "_send",
        "_started",
        "_stream_bytes",
        "intake",
    )

    def __init__(
        self,
        scope: Scope,
        receive: Receive,
        send: Send,
        closing: Callable[[], bool] = lambda: False,
    ) -> None:
        self._closing = closing
        self._scope = scope
        self._receive = receive
        self._send = send
        self._started = False
        self._finished = False
        self._has_unread_body = _may_have_body(scope)
        self._stream_bytes = 0
        self.intake: ConnectionIntake | None = scope.get("state", {}).get(INTAKE)
        """The account of the caller's connection, or None without one."""

    @property
    def method(self) -> str:
        """Return the HTTP method."""
        return str(self._scope["method"])

    @property
    def path(self) -> str:
        """Return the path as sent, without the query."""
        return bytes(self._scope["raw_path"]).partition(b"?")[0].decode("latin-1")

    @property
    def query_string(self) -> str:
        """Return the query as sent."""
        return bytes(self._scope["query_string"]).decode("latin-1")

    @property
    def started(self) -> bool:
        """Return whether the response has started."""
        return self._started

    @property
    def peer_host(self) -> str:
        """Return the caller's IP address."""
        client = self._scope.get("client")
        return str(client[0]) if client else ""

    def delivered_bytes(self) -> int:
        """Return how many bytes the connection has brought to the caller, 0 if it does not tell."""
        return self.intake.delivered() if self.intake is not None else 0

    def query(self, name: str) -> str | None:
        """Return the first value of a query parameter."""
        values = parse_qs(self.query_string).get(name)
        return values[0] if values else None

    def header(self, name: bytes) -> str | None:
        """Return the value of a header; `name` must be in lower case."""
        for key, value in self._scope["headers"]:
            if key.lower() == name:
                return bytes(value).decode("latin-1")
        return None

    @contextmanager
    def accounted(self) -> Iterator[None]:
        """Release the body of a stream of HTTP/2 at the end, also of a reset or failed request.

        The body of a request of HTTP/1 is released by its connection.
        """
        try:
            yield
        finally:
            if self.intake is not None and self._stream_bytes:
                self.intake.end_stream(self._stream_bytes)

    async def read_body(
        self, max_bytes: int, timeout_seconds: float, idle_seconds: float = math.inf
    ) -> bytes | Refused:
        """Return the whole body, or the reason for rejecting it.

        `idle_seconds` is how long the body may make no progress.
        """
        announced = self._announced_bytes()
        if announced is not None and announced > max_bytes:
            return _body_refused(
                Reason.BODY_TOO_LARGE,
                f"a body of {announced} bytes is announced, more than {max_bytes} bytes",
            )
        expected = max_bytes if announced is None else announced
        if self.intake is None:
            return await self._read_parts(max_bytes, timeout_seconds, idle_seconds)
        if self._scope.get("http_version") != "2":
            self.intake.expect(expected)
            return await self._read_parts(max_bytes, timeout_seconds, idle_seconds)
        scope = trio.CancelScope()
        with self.intake.hold_stream(self.peer_host, scope.cancel) as holding, scope:
            holding.expected = expected
            body = await self._read_parts(max_bytes, timeout_seconds, idle_seconds, holding)
            if not isinstance(body, Refused):
                self._stream_bytes = holding.size
                self.intake.keep(holding)
            return body
        return holding.refused or _body_refused(Reason.BODY_TIMEOUT, "the body was given up")

    async def _read_parts(
        self,
        max_bytes: int,
        timeout_seconds: float,
        idle_seconds: float,
        stream: Holding | None = None,
    ) -> bytes | Refused:
        """Return the whole body; that of a `stream` of HTTP/2 is counted as it is read."""
        body = BodyBuffer()
        end = trio.current_time() + timeout_seconds
        deadline = min(end, trio.current_time() + idle_seconds)
        while (message := await self._receive_until(deadline)) is not None:
            if message["type"] == "http.disconnect":
                return _body_refused(
                    Reason.INVALID_REQUEST,
                    "the connection was closed before the whole body arrived",
                )
            if message["type"] == REFUSED:
                refused: Refused = message["refused"]
                return refused
            chunk = message.get("body", b"")
            if chunk:
                deadline = min(end, trio.current_time() + idle_seconds)
            if body.size + len(chunk) > max_bytes:
                return _body_refused(
                    Reason.BODY_TOO_LARGE, f"the body is larger than {max_bytes} bytes"
                )
            body.add(chunk)
            if (
                stream is not None
                and self.intake is not None
                and not await self.intake.grow(stream, len(chunk))
            ):
                return stream.refused or _body_refused(Reason.BODY_TIMEOUT, "no memory")
            if not message.get("more_body", False):
                self._has_unread_body = False
                if self.intake is not None:
                    self.intake.complete()
                return body.joined()
        if deadline < end:
            reason = f"the body made no progress for {idle_seconds:g} s"
        else:
            reason = f"the body did not arrive within {timeout_seconds:g} s"
        return _body_refused(Reason.BODY_TIMEOUT, reason)

    def _announced_bytes(self) -> int | None:
        """Return the length of the body as announced, or None without a usable length."""
        for key, value in self._scope.get("headers", ()):
            if key.lower() == b"content-length":
                text = bytes(value).strip()
                return int(text) if text.isdigit() and len(text) <= MAX_LENGTH_DIGITS else None
        return None

    async def _receive_until(self, deadline: float) -> dict[str, Any] | None:
        """Return the next message, or None at a deadline in seconds.

        After a stall of this process, bytes may wait in the socket at the deadline: they are read
        for a further moment.
        """
        with trio.CancelScope(deadline=deadline - LAST_READ_SECONDS):
            return await self._receive()
        with trio.move_on_after(LAST_READ_SECONDS):
            return await self._receive()
        return None

    async def cancel_on_disconnect(self, scope: trio.CancelScope) -> None:
        """Cancel a scope if the caller disconnects before the response is finished.

        Must be called after the body has been read.
        """
        self._has_unread_body = False
        await self._discard_messages()
        if not self._finished:
            scope.cancel()

    async def _discard_messages(self) -> None:
        """Receive and discard messages until the caller disconnects."""
        while (await self._receive())["type"] != "http.disconnect":
            pass

    async def start(self, status: int, headers: list[tuple[bytes, bytes]]) -> None:
        """Send status and headers; during shutdown, HTTP/1 connections are closed afterwards."""
        self._started = True
        if self._closing() and str(self._scope.get("http_version", "1.1")).startswith("1"):
            headers = [*headers, (b"connection", b"close")]
        # Without the shield, a cancelled send would leave the server unaware that the response
        # has started.
        with trio.CancelScope(shield=True):
            await self._send({"type": "http.response.start", "status": status, "headers": headers})

    async def send(self, data: bytes) -> None:
        """Send a part of the body; waits while the caller reads slowly (backpressure)."""
        await self._send({"type": "http.response.body", "body": data, "more_body": True})

    async def finish(self, data: bytes = b"") -> None:
        """Send the last part of the body.

        The server then reports `http.disconnect`, even if the caller is still connected.
        """
        self._finished = True
        if data:
            await self.send(data)
        # A server that is interrupted here reads no further request of a connection that stays
        # open. The end of a chunked body may have to wait for a caller that reads slowly.
        with trio.move_on_after(END_SECONDS, shield=True):
            if self._has_unread_body:
                await self._end_unread()
            else:
                await self._send_end()

    async def _end_unread(self) -> None:
        """Send the end of a response to a request whose body has not been read to its end.

        The server waits for a free place among the messages with the parts of the body before it
        ends the request.
        """
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._discard_messages)
            await self._send_end()
            nursery.cancel_scope.cancel()

    async def _send_end(self) -> None:
        await self._send({"type": "http.response.body", "body": b"", "more_body": False})

    async def respond(self, status: int, headers: list[tuple[bytes, bytes]], body: bytes) -> None:
        """Send a complete response."""
        length = (b"content-length", str(len(body)).encode())
        await self.start(status, [*headers, length])
        await self.finish(body)

    async def respond_problem(self, problem: Problem, request_id: str = "") -> None:
        """Send an error response, with the request id if there is one."""
        headers = problem.headers
        if request_id:
            headers = [*headers, (b"x-request-id", request_id.encode())]
        await self.respond(problem.status, headers, problem.body)


def _may_have_body(scope: Scope) -> bool:
    """Return whether a request has a body by its headers; with HTTP/2 they do not tell."""
    if not str(scope.get("http_version", "")).startswith("1"):
        return True
    for key, value in scope.get("headers", ()):
        match key.lower():
            case b"transfer-encoding":
                return True
            case b"content-length" if bytes(value).strip() != b"0":
                return True
    return False


def _body_refused(reason: Reason, message: str) -> Refused:
    return Refused(reason, message, findings=(Finding("body", message),))


async def serve_lifespan(receive: Receive, send: Send) -> None:
    """Acknowledge the lifespan events of an application without startup or shutdown work."""
    while True:
        message = await receive()
        await send({"type": f"{message['type']}.complete"})
        if message["type"] == "lifespan.shutdown":
            return
        await trio.lowlevel.checkpoint()
