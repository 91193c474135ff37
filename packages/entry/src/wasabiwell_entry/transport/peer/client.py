"""gRPC client of other entry instances, on grpclib."""

import asyncio
import ssl
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager, contextmanager
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


class PeerChannel:
    """A channel that calls share; it closes after its last call once it is not to be used again."""

    __slots__ = ("_calls", "_channel", "_retired")

    def __init__(self, channel: Channel) -> None:
        self._channel = channel
        self._calls = 0
        self._retired = False

    @contextmanager
    def call(self) -> Iterator[Channel]:
        """Count a call on the channel."""
        self._calls += 1
        try:
            yield self._channel
        finally:
            self._calls -= 1
            self._close_unused()

    def retire(self) -> None:
        """Take no more calls; those that run are finished."""
        self._retired = True
        self._close_unused()

    def close(self) -> None:
        """Close the channel and end its calls."""
        self._channel.close()

    def _close_unused(self) -> None:
        if self._retired and not self._calls:
            self._channel.close()


class PeerClient:
    """Calls methods of peers, on one channel for each peer address."""

    __slots__ = ("_channels", "_telemetry", "_tls")

    def __init__(self, telemetry: Telemetry, tls: ssl.SSLContext | None = None) -> None:
        self._channels: dict[str, PeerChannel] = {}
        self._telemetry = telemetry
        self._tls = tls

    async def call(
        self,
        address: str,
        method: PeerMethod[Request, Reply],
        request: Request,
        timeout: timedelta = CALL_TIMEOUT,
    ) -> Reply | PeerUnavailable:
        """Call a method of a peer; after a failure the next call opens a new channel.

        The calls that run on the channel at that time go on, as the failure may concern one alone.
        """
        channel = self._channel(address)
        with channel.call() as grpc_channel:
            stub = UnaryUnaryMethod(
                grpc_channel, method.path, method.request_type, method.reply_type
            )
            try:
                with (
                    trio.fail_after(timeout.total_seconds()),
                    self._telemetry.span("peer call", {"rpc.method": method.path}),
                ):
                    metadata = dict(self._telemetry.headers())
                    reply: Reply = await trio_asyncio.aio_as_trio(stub)(request, metadata=metadata)
            except trio.TooSlowError:
                self._retire(address, channel)
                return PeerUnavailable("timeout")
            except (
                GRPCError,
                StreamTerminatedError,
                OSError,
                asyncio.CancelledError,
                msgspec.DecodeError,
            ) as error:
                self._retire(address, channel)
                return PeerUnavailable(repr(error))
        return reply

    def close(self) -> None:
        """Close all channels."""
        for channel in self._channels.values():
            channel.close()
        self._channels.clear()

    def _retire(self, address: str, channel: PeerChannel) -> None:
        # Another call may have replaced the channel already.
        if self._channels.get(address) is channel:
            del self._channels[address]
        channel.retire()

    def _channel(self, address: str) -> PeerChannel:
        channel = self._channels.get(address)
        if channel is None:
            host, _, port = address.rpartition(":")
            codec = MessagePackCodec()
            channel = PeerChannel(Channel(host, int(port), codec=codec, ssl=self._tls))
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
