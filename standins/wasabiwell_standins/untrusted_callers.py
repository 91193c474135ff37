"""Callers that ignore the limits of a deployment: each holds one connection and ends none."""

import os
import socket
import ssl
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path

import trio

SEND_SECONDS = 20.0
"""A caller that cannot send a further byte for so long keeps its connection and sends no more."""
CONNECT_SECONDS = 5.0
PIECE_BYTES = 65_536
TINY_CHUNKS_PER_PIECE = 500
UNREAD_WINDOW_BYTES = 4_096
"""Receive buffer of a caller that does not read its response."""
SETTLED_SECONDS = 2.0
SETTLE_LIMIT_SECONDS = 60.0
POLL_SECONDS = 0.05


@dataclass(frozen=True, slots=True)
class AnnouncedBody:
    """Announces a body of a size and sends a part of it."""

    announced_bytes: int
    sent_bytes: int


@dataclass(frozen=True, slots=True)
class ChunkedBody:
    """Sends a body in chunks, without its end."""

    sent_bytes: int
    chunk_bytes: int = PIECE_BYTES


@dataclass(frozen=True, slots=True)
class EndlessHead:
    """Sends a head without its end."""

    sent_bytes: int


@dataclass(frozen=True, slots=True)
class Silence:
    """Sends nothing."""


@dataclass(frozen=True, slots=True)
class UnreadResponse:
    """Sends a complete request and reads nothing of its response."""

    body: bytes


Behaviour = AnnouncedBody | ChunkedBody | EndlessHead | Silence | UnreadResponse


def sent_pieces(behaviour: Behaviour, head: bytes) -> Iterator[bytes]:
    """Return what a caller sends; `head` is a request line with headers, without the empty line."""
    match behaviour:
        case AnnouncedBody(announced_bytes=announced, sent_bytes=sent):
            yield head + b"Content-Length: %d\r\n\r\n" % announced
            for start in range(0, sent, PIECE_BYTES):
                yield b"x" * min(PIECE_BYTES, sent - start)
        case ChunkedBody(sent_bytes=sent, chunk_bytes=1):
            yield head + b"Transfer-Encoding: chunked\r\n\r\n"
            for start in range(0, sent, TINY_CHUNKS_PER_PIECE):
                yield b"1\r\nx\r\n" * min(TINY_CHUNKS_PER_PIECE, sent - start)
        case ChunkedBody(sent_bytes=sent, chunk_bytes=size):
            yield head + b"Transfer-Encoding: chunked\r\n\r\n"
            for start in range(0, sent, size):
                length = min(size, sent - start)
                yield b"%x\r\n%b\r\n" % (length, b"x" * length)
        case EndlessHead(sent_bytes=sent):
            yield (head + b"X-Endless: ").ljust(sent, b"x")
        case Silence():
            return
        case UnreadResponse(body=body):
            yield head + b"Content-Length: %d\r\n\r\n" % len(body) + body


@asynccontextmanager
async def untrusted_callers(
    address: str,
    heads: list[bytes],
    behaviour: Behaviour,
    tls: ssl.SSLContext | None = None,
) -> AsyncIterator[None]:
    """Open a connection for each head; yield once no caller sends any more, and then close them.

    A caller that the instance rejects or closes stays as it is and does not come back.
    """
    sent = trio.Event()
    sending = len(heads)

    async def call(head: bytes) -> None:
        nonlocal sending
        try:
            with trio.fail_after(CONNECT_SECONDS):
                stream = await _connect(address, tls, behaviour)
            streams.append(stream)
            await _send(stream, sent_pieces(behaviour, head))
        except (OSError, trio.TooSlowError, trio.BrokenResourceError):
            pass
        sending -= 1
        if not sending:
            sent.set()

    streams: list[trio.abc.Stream] = []
    async with trio.open_nursery() as nursery:
        for head in heads:
            nursery.start_soon(call, head)
        await sent.wait()
        try:
            yield
        finally:
            for stream in streams:
                await trio.aclose_forcefully(stream)


async def _connect(
    address: str, tls: ssl.SSLContext | None, behaviour: Behaviour
) -> trio.abc.Stream:
    host, _, port = address.rpartition(":")
    connection = trio.socket.socket()
    try:
        if isinstance(behaviour, UnreadResponse):
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, UNREAD_WINDOW_BYTES)
        await connection.connect((host, int(port)))
    except BaseException:
        connection.close()
        raise
    stream = trio.SocketStream(connection)
    return stream if tls is None else trio.SSLStream(stream, tls, server_hostname=host)


async def _send(stream: trio.abc.Stream, pieces: Iterator[bytes]) -> None:
    for piece in pieces:
        with trio.CancelScope(deadline=trio.current_time() + SEND_SECONDS) as scope:
            await stream.send_all(piece)
        if scope.cancelled_caught:
            return


class ProcessSize:
    """Resident memory and open descriptors of a process since the object was created."""

    __slots__ = ("_folder", "descriptors", "resting_kb")

    def __init__(self, process_id: int) -> None:
        self._folder = Path(f"/proc/{process_id}")
        self.descriptors = 0
        self.resting_kb = self._status("VmRSS")
        # The kernel then measures the peak from now on.
        (self._folder / "clear_refs").write_text("5")

    @property
    def growth_mb(self) -> float:
        """Return the growth of the resident memory from the start to its peak, in MB."""
        return (self._status("VmHWM") - self.resting_kb) / 1024

    async def watch(self) -> None:
        """Note the largest number of open descriptors, until cancelled or the process ends."""
        while self._folder.exists():
            self.descriptors = max(self.descriptors, self._open())
            await trio.sleep(POLL_SECONDS)

    async def settled(self) -> None:
        """Wait until the process neither opens or closes descriptors nor changes its memory."""
        last, since = (0, 0), trio.current_time()
        with trio.move_on_after(SETTLE_LIMIT_SECONDS):
            while trio.current_time() - since < SETTLED_SECONDS:
                if (now := (self._open(), self._status("VmRSS"))) != last:
                    last, since = now, trio.current_time()
                await trio.sleep(POLL_SECONDS)

    def _open(self) -> int:
        try:
            return len(os.listdir(self._folder / "fd"))
        except OSError:
            return 0

    def _status(self, name: str) -> int:
        try:
            lines = (self._folder / "status").read_text().splitlines()
        except OSError:
            return 0
        return next((int(line.split()[1]) for line in lines if line.startswith(f"{name}:")), 0)
