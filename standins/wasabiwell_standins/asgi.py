"""Minimal ASGI server used by the stand-ins."""

from collections.abc import Awaitable, Callable, Sequence
from typing import Any
from urllib.parse import parse_qs

import msgspec
import trio
from hypercorn.config import Config
from hypercorn.trio import serve


class HttpExchange:
    """An HTTP request with its complete body, and methods to send the response."""

    __slots__ = ("_scope", "_send", "body", "receive")

    def __init__(self, scope: dict[str, Any], receive: Any, send: Any, body: bytes) -> None:
        self._scope = scope
        self._send = send
        self.receive = receive
        self.body = body

    @property
    def method(self) -> str:
        """Return the HTTP method."""
        return str(self._scope["method"])

    @property
    def path(self) -> str:
        """Return the decoded path."""
        return str(self._scope["path"])

    def query(self, name: str, default: str = "") -> str:
        """Return the first value of a query parameter."""
        values: list[str] = parse_qs(self._scope["query_string"].decode(), True).get(
            name, [default]
        )
        return values[0]

    def header(self, name: str) -> str | None:
        """Return the value of a header; `name` is in lower case."""
        for key, value in self._scope["headers"]:
            if key == name.encode():
                return bytes(value).decode()
        return None

    async def reply(
        self, status: int, value: object, headers: Sequence[tuple[bytes, bytes]] = ()
    ) -> None:
        """Send a JSON response, with `headers` beside its type and length."""
        body = msgspec.json.encode(value)
        await self.reply_bytes(status, body, b"application/json", headers)

    async def reply_bytes(
        self,
        status: int,
        body: bytes,
        content_type: bytes,
        extra_headers: Sequence[tuple[bytes, bytes]] = (),
    ) -> None:
        """Send a response with a complete body."""
        headers = [(b"content-type", content_type), (b"content-length", b"%d" % len(body))]
        headers += extra_headers
        await self._send({"type": "http.response.start", "status": status, "headers": headers})
        await self._send({"type": "http.response.body", "body": body})

    async def start_stream(self, content_type: bytes) -> None:
        """Start a streamed response with status 200."""
        headers = [(b"content-type", content_type)]
        await self._send({"type": "http.response.start", "status": 200, "headers": headers})

    async def send_chunk(self, data: bytes, more: bool = True) -> None:
        """Send a chunk of a streamed response; `more=False` ends it."""
        await self._send({"type": "http.response.body", "body": data, "more_body": more})

    async def wait_disconnected(self) -> None:
        """Wait until the client closes the connection."""
        while (await self.receive())["type"] != "http.disconnect":
            pass


Handler = Callable[[HttpExchange], Awaitable[None]]


async def serve_http(handler: Handler, host: str, port: int) -> None:
    """Serve HTTP with a handler for each request, until cancelled."""

    async def app(scope: Any, receive: Any, send: Any) -> None:
        if scope["type"] == "lifespan":
            while True:
                message = await receive()
                await send({"type": f"{message['type']}.complete"})
                if message["type"] == "lifespan.shutdown":
                    return
        body = bytearray()
        while True:
            message = await receive()
            if message["type"] == "http.disconnect":
                return
            body += message.get("body", b"")
            if not message.get("more_body", False):
                break
        await handler(HttpExchange(scope, receive, send, bytes(body)))

    config = Config()
    config.bind = [f"{host}:{port}"]
    config.accesslog = None
    config.errorlog = None
    config.keep_alive_timeout = 600
    config.h11_max_incomplete_size = 1 << 20
    await serve(app, config, shutdown_trigger=trio.sleep_forever)
