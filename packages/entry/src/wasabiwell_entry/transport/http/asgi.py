"""ASGI types, and the HTTP request and response as the handlers use them."""

import math
from collections.abc import Awaitable, Callable
from typing import Any
from urllib.parse import parse_qs

import trio

from wasabiwell_entry.protocol.problem import Problem
from wasabiwell_entry.state.outcomes import Finding, Reason, Refused

Scope = dict[str, Any]
Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]

END_SECONDS = 10.0
"""How long the last bytes of a response may wait for the caller."""
LAST_READ_SECONDS = 0.05
"""How long a body is read at its deadline, although the process may have run late."""
JSON_TYPE = (b"content-type", b"application/json")


class HttpExchange:
    """One HTTP request and its response."""

    __slots__ = ("_closing", "_finished", "_receive", "_scope", "_send", "_started")

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

    async def read_body(
        self, max_bytes: int, timeout_seconds: float, idle_seconds: float = math.inf
    ) -> bytes | Refused:
        """Return the whole body, or the reason for rejecting it.

        `idle_seconds` is how long the body may make no progress.
        """
        chunks: list[bytes] = []
        size = 0
        end = trio.current_time() + timeout_seconds
        deadline = min(end, trio.current_time() + idle_seconds)
        while (message := await self._receive_until(deadline)) is not None:
            if message["type"] == "http.disconnect":
                return _body_refused(
                    Reason.INVALID_REQUEST,
                    "the connection was closed before the whole body arrived",
                )
            chunk = message.get("body", b"")
            size += len(chunk)
            if chunk:
                deadline = min(end, trio.current_time() + idle_seconds)
            if size > max_bytes:
                return _body_refused(
                    Reason.BODY_TOO_LARGE, f"the body is larger than {max_bytes} bytes"
                )
            chunks.append(chunk)
            if not message.get("more_body", False):
                return b"".join(chunks)
        if deadline < end:
            reason = f"the body made no progress for {idle_seconds:g} s"
        else:
            reason = f"the body did not arrive within {timeout_seconds:g} s"
        return _body_refused(Reason.BODY_TIMEOUT, reason)

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
        while (await self._receive())["type"] != "http.disconnect":
            pass
        if not self._finished:
            scope.cancel()

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
