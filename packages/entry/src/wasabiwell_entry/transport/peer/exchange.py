"""Heartbeat streams: the client, which implements a port of membership, and the handler."""

import asyncio
import ssl
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from datetime import timedelta
from typing import Any

import msgspec
import trio
import trio_asyncio
from grpclib.client import Channel, StreamStreamMethod
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError
from grpclib.server import Stream

from wasabiwell_entry.coordination.membership import MembershipCoordinator
from wasabiwell_entry.coordination.membership.coordinator import PeerSession
from wasabiwell_entry.coordination.membership.errors import PeerUnreachable
from wasabiwell_entry.protocol.peer import (
    EXCHANGE,
    HeartbeatFrame,
    frame_from_heartbeat,
    heartbeat_from_frame,
)
from wasabiwell_entry.state.heartbeats import Heartbeat
from wasabiwell_entry.state.members import Member
from wasabiwell_entry.transport.peer.codec import MessagePackCodec

SERVER_IDLE_TIMEOUT_SECONDS = 10.0
"""A peer that sends nothing for this long has opened another stream or is down."""
STREAM_ERRORS = (
    GRPCError,
    ProtocolError,
    StreamTerminatedError,
    OSError,
    asyncio.CancelledError,
    asyncio.TimeoutError,
    msgspec.DecodeError,
)


class GrpcHeartbeatStream:
    """An `Exchange` stream on its own connection."""

    __slots__ = ("_channel", "_stream", "_stream_context")

    def __init__(self, channel: Channel) -> None:
        self._channel = channel
        self._stream_context: Any = None
        self._stream: Any = None

    async def exchange(
        self, heartbeat: Heartbeat, timeout: timedelta
    ) -> Heartbeat | PeerUnreachable:
        """Send a heartbeat and return the heartbeat of the peer."""
        try:
            with trio.fail_after(timeout.total_seconds()):
                frame = await trio_asyncio.aio_as_trio(self._exchange)(
                    frame_from_heartbeat(heartbeat)
                )
        except trio.TooSlowError:
            return PeerUnreachable("timeout")
        except STREAM_ERRORS as error:
            return PeerUnreachable(repr(error))
        return (
            PeerUnreachable("the peer closed the stream")
            if frame is None
            else heartbeat_from_frame(frame)
        )

    async def _exchange(self, frame: HeartbeatFrame) -> HeartbeatFrame | None:
        if self._stream is None:
            method = StreamStreamMethod(
                self._channel, EXCHANGE.path, EXCHANGE.request_type, EXCHANGE.reply_type
            )
            self._stream_context = method.open()
            self._stream = await self._stream_context.__aenter__()
        await self._stream.send_message(frame)
        reply: HeartbeatFrame | None = await self._stream.recv_message()
        return reply

    def close(self) -> None:
        """Close the connection and its stream."""
        self._channel.close()


class GrpcHeartbeatConnector:
    """Opens heartbeat streams to other entry instances; implements `PeerPort`."""

    __slots__ = ("_tls",)

    def __init__(self, tls: ssl.SSLContext | None = None) -> None:
        self._tls = tls

    @asynccontextmanager
    async def open(self, member: Member) -> AsyncIterator[GrpcHeartbeatStream]:
        """Open a stream on a new connection, closed at exit; needs a trio-asyncio loop."""
        host, _, port = member.peer_address.rpartition(":")
        stream = GrpcHeartbeatStream(
            Channel(host, int(port), codec=MessagePackCodec(), ssl=self._tls)
        )
        try:
            yield stream
        finally:
            stream.close()


def exchange_handler(
    membership: MembershipCoordinator,
) -> Callable[[Stream[Any, Any]], Awaitable[None]]:
    """Return the handler of streams that peers open; each stream has its own task."""

    async def serve(stream: Stream[Any, Any]) -> None:
        session = PeerSession()
        while True:
            try:
                async with asyncio.timeout(SERVER_IDLE_TIMEOUT_SECONDS):
                    frame = await stream.recv_message()
            except TimeoutError:
                return
            if frame is None:
                return
            reply = membership.receive(heartbeat_from_frame(frame), session)
            await stream.send_message(frame_from_heartbeat(reply))

    return serve
