"""gRPC client of other entry instances, on grpclib."""

import asyncio
import ssl
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from datetime import timedelta

import msgspec
import trio
import trio_asyncio
from grpclib.client import Channel, UnaryUnaryMethod
from grpclib.exceptions import GRPCError, StreamTerminatedError

from wasabiwell_entry.coordination.telemetry import NO_TELEMETRY, Telemetry
from wasabiwell_entry.protocol.peer import PeerMethod, Reply, Request
from wasabiwell_entry.transport.peer.codec import MessagePackCodec

CALL_TIMEOUT = timedelta(seconds=1)


@dataclass(frozen=True, slots=True)
class PeerUnavailable:
    """A call failed or timed out; the peer may have executed it nevertheless."""

    reason: str


class PeerClient:
    """Calls methods of peers, on one channel for each peer address."""

    __slots__ = ("_channels", "_telemetry", "_tls")

    def __init__(self, telemetry: Telemetry, tls: ssl.SSLContext | None = None) -> None:
        self._channels: dict[str, Channel] = {}
        self._telemetry = telemetry
        self._tls = tls

    async def call(
        self,
        address: str,
        method: PeerMethod[Request, Reply],
        request: Request,
        timeout: timedelta = CALL_TIMEOUT,
    ) -> Reply | PeerUnavailable:
        """Call a method of a peer; after a failure the channel is closed and later reopened."""
        stub = UnaryUnaryMethod(
            self._channel(address), method.path, method.request_type, method.reply_type
        )
        try:
            with (
                trio.fail_after(timeout.total_seconds()),
                self._telemetry.span("peer call", {"rpc.method": method.path}),
            ):
                metadata = dict(self._telemetry.headers())
                reply: Reply = await trio_asyncio.aio_as_trio(stub)(request, metadata=metadata)
        except trio.TooSlowError:
            self.drop(address)
            return PeerUnavailable("timeout")
        except (
            GRPCError,
            StreamTerminatedError,
            OSError,
            asyncio.CancelledError,
            msgspec.DecodeError,
        ) as error:
            self.drop(address)
            return PeerUnavailable(repr(error))
        return reply

    def drop(self, address: str) -> None:
        """Close the channel of a peer; the next call opens a new one."""
        channel = self._channels.pop(address, None)
        if channel is not None:
            channel.close()

    def close(self) -> None:
        """Close all channels."""
        for address in list(self._channels):
            self.drop(address)

    def _channel(self, address: str) -> Channel:
        channel = self._channels.get(address)
        if channel is None:
            host, _, port = address.rpartition(":")
            channel = Channel(host, int(port), codec=MessagePackCodec(), ssl=self._tls)
            self._channels[address] = channel
        return channel


@asynccontextmanager
async def open_peer_client(
    telemetry: Telemetry = NO_TELEMETRY, tls: ssl.SSLContext | None = None
) -> AsyncIterator[PeerClient]:
    """Open a peer client and close its channels at exit; needs a trio-asyncio loop."""
    client = PeerClient(telemetry, tls)
    try:
        yield client
    finally:
        client.close()
