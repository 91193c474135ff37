"""Accounts for what one connection of a caller has sent and what it has not read yet."""

import select
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any

import trio

from wasabiwell_entry.coordination.intake import Intake
from wasabiwell_entry.coordination.intake.account import BufferedKind, Holding
from wasabiwell_entry.state.outcomes import Refused

INTAKE = "wasabiwell.intake"
"""Key of the `ConnectionIntake` in the state of an ASGI scope."""
REFUSED = "wasabiwell.refused"
"""Type of the ASGI message that ends a body which the instance gives up, for its `refused`."""
READ_BYTES = 65_536
TLS_READ_BYTES = 16_384
"""Largest record of TLS; each connection holds one that is not accounted for yet."""


class NoRoomError(Exception):
    """The request of a connection has been given up."""


class ConnectionIntake:
    """The holding of one connection, which counts the current request until its response ends."""

    __slots__ = ("_control", "_holding", "_intake", "_unaccounted", "delivered")

    def __init__(self, intake: Intake, control: bool) -> None:
        self._intake = intake
        self._control = control
        self._holding: Holding | None = None
        self._unaccounted: bytes | None = None
        """Bytes from a TLS connection that wait for room."""
        self.delivered: Callable[[], int] = lambda: 0
        """Returns how many bytes the connection has brought to the caller."""

    @contextmanager
    def hold(self, address: str, refuse: Callable[[], None]) -> Iterator[None]:
        """Count what the connection sends until the context exits."""
        with self._intake.hold(BufferedKind.HEAD, address, self._control, refuse) as holding:
            self._holding = holding
            yield

    @property
    def refused(self) -> Refused | None:
        """Return why the request has been given up, or None."""
        return self._holding.refused if self._holding is not None else None

    async def receive(self, stream: Any) -> bytes:
        """Return the next bytes, once there is room for them; raises `NoRoomError`."""
        holding = self._holding
        assert holding is not None
        if not isinstance(stream, trio.SocketStream):
            return await self._receive_tls(stream, holding)
        if not _has_input(stream.socket):
            await trio.lowlevel.wait_readable(stream.socket)
        if not await self._intake.grow(holding, READ_BYTES):
            raise NoRoomError
        received = 0
        try:
            data = bytes(await stream.receive_some(READ_BYTES))
            received = len(data)
        finally:
            self._intake.shrink(holding, READ_BYTES - received)
        return data

    async def _receive_tls(self, stream: Any, holding: Holding) -> bytes:
        """Return the next bytes of a TLS connection, which are read before there is room.

        Bytes that the library has decrypted do not show in the socket, so a reservation before the
        read would be held by every idle connection.
        """
        if self._unaccounted is None:
            self._unaccounted = bytes(await stream.receive_some(TLS_READ_BYTES))
        if not await self._intake.grow(holding, len(self._unaccounted)):
            raise NoRoomError
        data, self._unaccounted = self._unaccounted, None
        return data

    def note_streams(self) -> None:
        """Note that the connection speaks HTTP/2: from now on the handlers account for bodies."""
        if self._holding is not None:
            self._intake.restart(self._holding, 0)
            self._intake.account.classify(self._holding, BufferedKind.BODY)
            self._holding.complete = True

    @contextmanager
    def hold_stream(self, address: str, refuse: Callable[[], None]) -> Iterator[Holding]:
        """Count the incomplete body of a stream of HTTP/2."""
        with self._intake.hold(BufferedKind.BODY, address, self._control, refuse) as holding:
            yield holding

    async def grow(self, holding: Holding, count: int) -> bool:
        """Count further bytes of a stream; returns False if its body has been given up."""
        return await self._intake.grow(holding, count)

    def keep(self, stream: Holding) -> None:
        """Count the complete body of a stream as held by its connection."""
        if self._holding is not None:
            self._intake.account.move(stream, self._holding)

    def end_stream(self, size: int) -> None:
        """Release the body of a stream whose response has ended."""
        if self._holding is not None:
            self._intake.shrink(self._holding, min(size, self._holding.size))

    def begin(self) -> None:
        """Note that the head of a request has arrived."""
        if self._holding is not None:
            self._intake.account.classify(self._holding, BufferedKind.BODY)

    def expect(self, size: int) -> None:
        """Note how large the body is, or may be."""
        if self._holding is not None:
            self._holding.expected = size

    def attribute(self, organisation: str) -> None:
        """Note the organisation that sends the request."""
        if self._holding is not None:
            self._intake.account.attribute(self._holding, organisation)

    def complete(self) -> None:
        """Note that the whole request has arrived, which is not given up any more."""
        if self._holding is not None:
            self._intake.account.complete(self._holding)

    def restart(self, size: int) -> None:
        """Begin to count the next request, of which `size` bytes have arrived."""
        if self._holding is not None:
            self._intake.restart(self._holding, size)

    def release(self) -> None:
        """Release what the connection holds, which reads nothing but what it discards any more."""
        if self._holding is not None:
            self._intake.shrink(self._holding, self._holding.size)


def _has_input(socket: trio.socket.SocketType) -> bool:
    poll = select.poll()
    if socket.fileno() < 0:
        raise trio.ClosedResourceError("the connection is closed")
    poll.register(socket.fileno(), select.POLLIN)
    return bool(poll.poll(0))
