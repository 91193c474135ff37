"""Callers' connections, which end as idle only when no request waits on them."""

import fcntl
import select
import termios
from array import array
from collections.abc import Callable
from contextlib import AbstractContextManager, nullcontext, suppress
from datetime import timedelta
from functools import partial
from typing import TYPE_CHECKING, Any

import trio
from h11 import DONE, SEND_BODY, Request
from hypercorn.config import Config
from hypercorn.events import Closed, Event, RawData, Updated
from hypercorn.protocol import ProtocolWrapper
from hypercorn.protocol.h11 import H11Protocol
from hypercorn.protocol.http_stream import HTTPStream
from hypercorn.trio.tcp_server import MAX_RECV, TCPServer
from hypercorn.trio.worker_context import WorkerContext
from hypercorn.typing import AppWrapper, ConnectionState, LifespanState

from wasabiwell_entry.state import log_events
from wasabiwell_entry.state.outcomes import Refused
from wasabiwell_entry.state.routes import CallerLimits
from wasabiwell_entry.transport.http.heads import (
    BoundedConnection,
    HeadTooLargeError,
    encode_refusal,
    head_timed_out,
)
from wasabiwell_entry.transport.http.intake import (
    INTAKE,
    REFUSED,
    ConnectionIntake,
    NoRoomError,
)

if TYPE_CHECKING:
    # Loaded with the first connection that speaks HTTP/2, as this takes a part of the start.
    from h2.connection import H2Connection
    from hypercorn.protocol.h2 import H2Protocol

LimitsSource = Callable[[], CallerLimits]
STREAM_ERRORS = (trio.BrokenResourceError, trio.ClosedResourceError)

STOPPING_IDLE_SECONDS = 1.0
"""How long a connection may be idle once its listener is closed. A caller that does not know of the
stop yet sends its next request meanwhile, and learns of it from the response."""
PARTIAL_HEAD_SECONDS = 3.0
"""How long a head may take once its listener is closed, and where no other limit is set."""
REFUSAL_SECONDS = 1.0
"""How long a caller may take to read the refusal of a head. What it still sends is read meanwhile,
as a close with unread bytes resets the connection, which may discard the response."""
HANDLER_TURNS = 3
"""Passes of the event loop after which a handler has received a message that was sent to it."""
DISCARD_BYTES = 1024 * 1024
"""How many bytes are read and discarded after a refusal. A caller that sends more is reset."""


class Connection(TCPServer):
    """A connection that is closed by the task that reads it, so that no request is lost.

    The library closes an idle connection in a task of its own, which does not look at the bytes
    that wait in the socket or that the reading task has received in the same pass of the event
    loop.
    """

    def __init__(
        self,
        app: AppWrapper,
        config: Config,
        stream: Any,
        limits: LimitsSource | None = None,
        intake: ConnectionIntake | None = None,
    ) -> None:
        # The context of its own tells this connection alone that its listener has closed.
        context = WorkerContext(None)
        state = ConnectionState(LifespanState({INTAKE: intake} if intake is not None else {}))
        super().__init__(app, config, context, state, stream)
        self._intake = intake
        self._sent_bytes = 0
        if intake is not None:
            intake.delivered = self.delivered_bytes
        self._discarding = False
        """Whether the response to a request that is not read to its end has been sent."""
        self._displaced = False
        self._reads = False
        self._limits = limits or partial(_default_limits, config)
        self._bounds_heads = limits is not None
        self._stopped_at = float("inf")
        self._idle = True
        self._idle_since = trio.current_time()
        self._head_since: float | None = None
        """When the first bytes of a head arrived that is incomplete, in seconds, or None."""
        self._overdue = False
        """Whether bytes that waited at the deadline are read before the connection ends."""
        self._deadline = self._end_of_wait()
        self._read_scope = trio.CancelScope()
        self._reading = trio.CancelScope()
        self._handshake = trio.CancelScope()

    @property
    def idle(self) -> bool:
        """Return whether no request is open on the connection."""
        return self._idle

    @property
    def idle_since(self) -> float:
        """Return since when no request has been open, in seconds."""
        return self._idle_since

    @property
    def address(self) -> str:
        """Return the caller's IP address, or an empty one if the connection has ended."""
        try:
            return str(transport_socket(self.stream).getpeername()[0])
        except OSError:
            return ""

    def delivered_bytes(self) -> int:
        """Return how many bytes have reached the caller; with TLS only its growth has a meaning."""
        return self._sent_bytes - unsent_bytes(transport_socket(self.stream))

    @property
    def displaced(self) -> bool:
        """Return whether the connection makes place for another one."""
        return self._displaced

    def displace(self) -> None:
        """Close an idle connection to make place for another one; waiting bytes are read first."""
        self._displaced = True
        if self._reads:
            self._set_deadline(trio.current_time())
        else:
            self._handshake.cancel()

    async def serve(self) -> None:
        """Serve the connection until it ends."""
        with self._handshake:
            await self

    def stop(self) -> None:
        """Close the connection when it is idle, after the next response or soon."""
        self._stopped_at = trio.current_time()
        if not self._overdue:
            self._set_deadline(self._end_of_wait())

    async def protocol_send(self, event: Event) -> None:
        """Send bytes, or note that a request has begun or ended.

        A send is cancelled only while the caller takes no bytes; the connection then ends, as a
        part of the response is missing.
        """
        match event:
            case RawData(data=data):
                try:
                    await self._send_all(data)
                except (trio.BrokenResourceError, trio.ClosedResourceError):
                    await self._abandon()
                except trio.Cancelled:
                    await self._abandon()
                    raise
            case Updated(idle=idle):
                self._idle = idle
                self._note_request(idle)
                self._await_head()
            case Closed() if self._has_unread_request():
                # The reading task discards what still arrives, and then closes the connection.
                self._discarding = True
                self._shut_down_sending()
                self._read_scope.cancel()
                await self.protocol.handle(Closed())
            case _:
                await super().protocol_send(event)

    def _note_request(self, idle: bool) -> None:
        """Account for a request that has begun, or for the next one once it has ended."""
        if self._intake is None:
            return
        match self.protocol.protocol:
            case H11Protocol(connection=connection) if idle:
                self._intake.restart(len(connection.trailing_data[0]))
            case H11Protocol():
                self._intake.begin()

    def _note_end_of_request(self) -> None:
        """Account for a request that has arrived as a whole, also if its handler reads no body."""
        match self.protocol.protocol:
            case H11Protocol(connection=connection) if self._intake is not None and not self._idle:
                if connection.their_state is DONE:
                    self._intake.complete()

    def _has_unread_request(self) -> bool:
        """Return whether the rest of a request is not read, as its response has been sent."""
        match getattr(self, "protocol", None):
            case ProtocolWrapper(protocol=H11Protocol(connection=connection)):
                return connection.their_state is SEND_BODY and self._reads and not self._discarding
        return False

    async def _send_all(self, data: bytes) -> None:
        """Send bytes; raise an error of a stream if the connection has ended.

        The library shields the whole send, which may outlast the deadline of the request and the
        stop of the process if the caller reads nothing. Here, only what the kernel takes at once
        is shielded, so that the library knows whether a response has started.
        """
        if not data:
            return
        try:
            self.send_lock.acquire_nowait()
        except trio.WouldBlock:
            await self.send_lock.acquire()
        try:
            unsent = memoryview(data)
            while unsent:
                await _wait_space(transport_socket(self.stream))
                with trio.CancelScope(shield=True):
                    unsent = unsent[await self._send_some(unsent) :]
        finally:
            self.send_lock.release()

    async def _send_some(self, data: memoryview) -> int:
        """Send bytes and return how many, all of them with TLS."""
        if not isinstance(self.stream, trio.SocketStream):
            await self.stream.send_all(data)
            self._sent_bytes += len(data)
            return len(data)
        try:
            count = await self.stream.socket.send(data)
        except OSError as error:
            raise trio.BrokenResourceError(f"the connection is broken: {error}") from error
        self._sent_bytes += count
        return count

    async def _abandon(self) -> None:
        """End the connection, on which nothing more may be sent."""
        self._reading.cancel()
        await self.protocol.handle(Closed())

    def _end_of_wait(self) -> float:
        """Return when the wait for a request or for the rest of its head ends, in seconds.

        A newer version of the limits applies from the next time at which this is asked.
        """
        if not self._idle:
            return float("inf")
        if self._displaced:
            return float("-inf")
        limits = self._limits()
        since, limit, stopping_seconds = (
            self._idle_since,
            limits.idle_timeout,
            STOPPING_IDLE_SECONDS,
        )
        if self._head_since is not None:
            since, limit = self._head_since, limits.header_timeout
            stopping_seconds = PARTIAL_HEAD_SECONDS
        end = since + limit.total_seconds()
        return min(end, max(since, self._stopped_at) + stopping_seconds)

    def _await_head(self) -> None:
        """Begin to wait for the next request, of which nothing has arrived."""
        self._idle_since = trio.current_time()
        self._head_since = None
        self._overdue = False
        self._set_deadline(self._end_of_wait())

    def _set_deadline(self, deadline: float) -> None:
        """Set the time at which the reading task ends the connection, in seconds."""
        self._deadline = deadline
        self._read_scope.deadline = deadline

    async def _read_data(self) -> None:
        # A handshake may have taken longer than a connection may be idle.
        self._reads = True
        self._await_head()
        match self.protocol.protocol:
            case H11Protocol() as protocol:
                if self._bounds_heads:
                    protocol.connection = BoundedConnection(lambda: self._limits().header_bytes)
                ignore_tunnel_upgrades(protocol)
        with self._reading, self._accounted():
            await self._read_until_closed()
        match self.protocol.protocol:
            case H11Protocol():
                pass
            case http2:
                await self._send_goaway(http2)
        await self.protocol.handle(Closed())

    def _accounted(self) -> AbstractContextManager[None]:
        """Account for what the connection sends; with HTTP/2 the handlers account for bodies."""
        if self._intake is None:
            return nullcontext()
        address = self.protocol.client[0] if self.protocol.client else ""
        return self._intake.hold(address, lambda: self._read_scope.cancel())

    async def _read_until_closed(self) -> None:
        while (data := await self._receive()) is not None:
            try:
                await self.protocol.handle(RawData(data))
            except HeadTooLargeError as error:
                await self._refuse(error.refused)
                return
            if self._discarding:
                await self._discard()
                return
            if not data:
                return
            self._note_end_of_request()
            match self.protocol.protocol:
                case H11Protocol() as protocol:
                    if self._idle and protocol.connection.trailing_data[0]:
                        if self._head_since is None:
                            self._head_since = trio.current_time()
                            self._overdue = False
                        self._set_deadline(self._end_of_wait())
                case http2:
                    if self._intake is not None:
                        self._intake.note_streams()
                        self._intake = None
                    await self._follow_streams(http2)

    async def _follow_streams(self, protocol: "H2Protocol") -> None:
        """Note whether streams are open, which the library does not tell of streams that are reset.

        Once the listener has closed, new streams are refused, as a connection in use would never
        be idle.
        """
        if protocol.idle != self._idle:
            await self.protocol_send(Updated(idle=protocol.idle))
        if self._stopped_at < float("inf") and not self.context.terminated.is_set():
            await self.context.terminated.set()
            refuse_new_streams(protocol.connection)

    async def _send_goaway(self, protocol: "H2Protocol") -> None:
        """Tell the caller which streams have been processed, so that it can repeat the others."""
        from h2.connection import H2Connection
        from h2.exceptions import ProtocolError

        with suppress(ProtocolError):
            H2Connection.close_connection(protocol.connection)
            await self.protocol_send(RawData(protocol.connection.data_to_send()))

    async def _receive(self) -> bytes | None:
        """Return the next bytes, b"" at their end, or None if the connection is to be closed."""
        no_room = False
        while True:
            if self._intake is not None and self._intake.refused is not None:
                await self._give_up(self._intake.refused, no_room)
                return None
            with trio.CancelScope(deadline=self._deadline) as self._read_scope:
                try:
                    if self._intake is not None:
                        return await self._intake.receive(self.stream)
                    return bytes(await self.stream.receive_some(MAX_RECV))
                except NoRoomError:
                    no_room = True
                    continue
                except (trio.ClosedResourceError, trio.BrokenResourceError):
                    return None
            if self._discarding:
                await self._discard()
                return None
            if self._intake is not None and self._intake.refused is not None:
                continue
            now = trio.current_time()
            if (end := self._end_of_wait()) > now:
                self._deadline = end
            elif self._overdue or not has_input(transport_socket(self.stream)):
                await self._end_overdue()
                return None
            else:
                self._overdue = True
                self._deadline = now + PARTIAL_HEAD_SECONDS

    async def _end_overdue(self) -> None:
        """End a connection whose next request has not arrived in time.

        A caller that has sent nothing gets no response, as it would take it for that to its next
        request.
        """
        if self._head_since is None:
            self._shut_down_sending()
        else:
            await self._refuse(head_timed_out(self._limits().header_timeout))

    async def _refuse(self, refused: Refused) -> None:
        """Answer a request whose head is not read to its end, and end the connection."""
        log_events.emit(
            log_events.REQUEST_HEAD_REFUSED,
            caller=self.protocol.client[0] if self.protocol.client else "",
            reason=refused.reason.value,
            message=refused.message,
        )
        with trio.move_on_after(REFUSAL_SECONDS), suppress(*STREAM_ERRORS):
            await self.protocol_send(RawData(encode_refusal(refused)))
            self._shut_down_sending()
            await self._discard()

    async def _give_up(self, refused: Refused, no_room: bool) -> None:
        """Answer a request that the account has given up, and end the connection.

        With `no_room`, bytes of a request wait, also if none of its head has been read.
        """
        assert self._intake is not None
        match self.protocol.protocol:
            case H11Protocol(stream=HTTPStream() as stream) if not self._idle:
                with trio.move_on_after(REFUSAL_SECONDS):
                    await stream.app_put({"type": REFUSED, "refused": refused})  # type: ignore
                # The handler drops the body in the meantime; only then others may use its memory.
                for _ in range(HANDLER_TURNS):
                    await trio.lowlevel.checkpoint()
                self._intake.release()
                await self._discard()
            case H11Protocol():
                self._intake.release()
                if no_room or self._head_since is not None:
                    await self._refuse(refused)
            case _:
                self._intake.release()

    async def _discard(self) -> None:
        """Read and discard a bounded number of bytes for a bounded time."""
        left = DISCARD_BYTES
        with trio.move_on_after(REFUSAL_SECONDS), suppress(*STREAM_ERRORS):
            while left > 0 and (data := await self.stream.receive_some(MAX_RECV)):
                left -= len(data)

    def _shut_down_sending(self) -> None:
        """Tell the caller at once that no response follows; TLS ends with a message of its own."""
        if isinstance(self.stream, trio.SocketStream):
            with suppress(OSError):
                self.stream.socket.shutdown(trio.socket.SHUT_WR)

    async def _idle_timeout(self) -> None:
        """Do nothing: the reading task closes idle connections."""


def ignore_tunnel_upgrades(protocol: H11Protocol) -> None:
    """Let the library serve a `CONNECT` request that asks for an upgrade to h2c with HTTP/1.1.

    It takes such a request for a WebSocket, and the reading task then waits for its own error
    response before the task that sends it has been started: the connection would never end.
    """
    check = protocol._check_protocol

    async def check_protocol(request: Request) -> None:
        if request.method.upper() != b"CONNECT":
            await check(request)

    protocol._check_protocol = check_protocol  # type: ignore[assignment,method-assign]


def _default_limits(config: Config) -> CallerLimits:
    """Return the limits of a listener of which nothing but the server's configuration is known."""
    return CallerLimits(
        header_timeout=timedelta(seconds=PARTIAL_HEAD_SECONDS),
        idle_timeout=timedelta(seconds=config.keep_alive_timeout),
    )


def refuse_new_streams(connection: "H2Connection") -> None:
    """Let the library refuse new streams properly while it is told that its listener has closed.

    It resets them without saying that they have not been processed, and closes the connection
    before the end of the last response has been sent.
    """
    from h2.errors import ErrorCodes

    connection.reset_stream = partial(  # type: ignore[method-assign]
        connection.reset_stream, error_code=ErrorCodes.REFUSED_STREAM
    )
    connection.close_connection = lambda: None  # type: ignore[assignment,method-assign,misc]


def transport_socket(stream: Any) -> trio.socket.SocketType:
    """Return the socket below a stream or a listener, with or without TLS."""
    for name in ("transport_stream", "transport_listener"):
        stream = getattr(stream, name, stream)
    socket: trio.socket.SocketType = stream.socket
    return socket


def unsent_bytes(socket: trio.socket.SocketType) -> int:
    """Return how many bytes the kernel holds that have not reached the other side.

    It is 0 where the kernel does not tell; progress then shows only as the kernel takes more.
    """
    count = array("i", [0])
    try:
        fcntl.ioctl(socket.fileno(), termios.TIOCOUTQ, count)
    except (OSError, ValueError):
        # A closed socket has a negative descriptor, which is a `ValueError`.
        return 0
    return count[0]


async def _wait_space(socket: trio.socket.SocketType) -> None:
    """Wait until the kernel takes bytes to send, or until the connection is broken.

    Raises `trio.ClosedResourceError` if this side has closed the connection.
    """
    if socket.fileno() < 0:
        raise trio.ClosedResourceError("the connection is closed")
    if not _poll(socket, select.POLLOUT):
        await trio.lowlevel.wait_writable(socket)


def has_input(socket: trio.socket.SocketType) -> bool:
    """Return whether bytes, the end of the connection or a new connection wait in a socket."""
    return _poll(socket, select.POLLIN)


def _poll(socket: trio.socket.SocketType, events: int) -> bool:
    if socket.fileno() < 0:
        # This side has closed the connection.
        return False
    poll = select.poll()
    poll.register(socket.fileno(), events)
    return bool(poll.poll(0))
