"""gRPC server for other entry instances, on grpclib."""

import ssl
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Any

import trio_asyncio
from grpclib.const import Cardinality, Handler
from grpclib.server import Server, Stream

from wasabiwell_entry.protocol.peer import AnyMethod, PeerMethod, Reply, Request
from wasabiwell_entry.transport.peer.codec import MessagePackCodec

PeerHandler = Callable[[Any], Awaitable[Any]]
StreamHandler = Callable[[Stream[Any, Any]], Awaitable[None]]


class PeerService:
    """Handlers of the methods that other entry instances call."""

    __slots__ = ("_stream_handlers", "_unary_handlers")

    def __init__(self) -> None:
        self._unary_handlers: dict[AnyMethod, PeerHandler] = {}
        self._stream_handlers: dict[AnyMethod, StreamHandler] = {}

    def handle_stream(self, method: AnyMethod, handler: StreamHandler) -> None:
        """Register an asyncio coroutine function for a bidirectional streaming method."""
        self._stream_handlers[method] = handler

    def handle(
        self,
        method: PeerMethod[Request, Reply],
        handler: Callable[[Request], Awaitable[Reply]],
    ) -> None:
        """Register a trio coroutine function for a unary method."""
        self._unary_handlers[method] = handler

    def __mapping__(self) -> dict[str, Handler]:
        """Return the handlers by method path, as grpclib expects them."""
        stream_handlers = {
            method.path: Handler(
                handler, Cardinality.STREAM_STREAM, method.request_type, method.reply_type
            )
            for method, handler in self._stream_handlers.items()
        }
        return stream_handlers | {
            method.path: Handler(
                _unary_stream_handler(handler),
                Cardinality.UNARY_UNARY,
                method.request_type,
                method.reply_type,
            )
            for method, handler in self._unary_handlers.items()
        }


def _unary_stream_handler(handler: PeerHandler) -> Callable[[Stream[Any, Any]], Awaitable[None]]:
    async def serve(stream: Stream[Any, Any]) -> None:
        request = await stream.recv_message()
        reply = await trio_asyncio.trio_as_aio(handler)(request)
        await stream.send_message(reply)

    return serve


@asynccontextmanager
async def serve_peers(
    service: PeerService, host: str, port: int, tls: ssl.SSLContext | None = None
) -> AsyncIterator[None]:
    """Serve other entry instances until exit; needs a trio-asyncio loop."""
    server = Server([service], codec=MessagePackCodec())
    await trio_asyncio.aio_as_trio(server.start)(host, port, ssl=tls)
    try:
        yield
    finally:
        server.close()
