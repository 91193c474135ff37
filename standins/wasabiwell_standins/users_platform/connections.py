"""HTTP/1.1 connections of the target stand-ins."""

import socket
import struct
from dataclasses import dataclass

import h11
import trio

READ_BYTES = 65_536


@dataclass(slots=True)
class Request:
    """A received HTTP request; `target` is the request target with its query."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


async def receive(stream: trio.SocketStream, connection: h11.Connection) -> Request | None:
    """Return the next request, or None when the connection is closed."""
    head: h11.Request | None = None
    body = bytearray()
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            connection.receive_data(await stream.receive_some(READ_BYTES))
        elif isinstance(event, h11.Request):
            head = event
        elif isinstance(event, h11.Data):
            body += event.data
        elif isinstance(event, h11.EndOfMessage) and head is not None:
            headers = {name.decode(): value.decode("latin-1") for name, value in head.headers}
            return Request(head.method.decode(), head.target.decode(), headers, bytes(body))
        else:
            return None


async def cancel_when_closed(stream: trio.SocketStream, scope: trio.CancelScope) -> None:
    """Abort a request whose connection is closed, as most engines do."""
    try:
        while await stream.receive_some(READ_BYTES):
            pass
    except (trio.BrokenResourceError, trio.ClosedResourceError):
        pass
    scope.cancel()


def encode_head(connection: h11.Connection, status: int, headers: list[tuple[str, str]]) -> bytes:
    """Return the bytes of the head of a response."""
    encoded = [(name.encode(), value.encode("latin-1")) for name, value in headers]
    return connection.send(h11.Response(status_code=status, headers=encoded)) or b""


async def reply(
    stream: trio.SocketStream,
    connection: h11.Connection,
    status: int,
    headers: list[tuple[str, str]],
    body: bytes,
) -> None:
    """Send a whole response."""
    data = encode_head(connection, status, [*headers, ("Content-Length", str(len(body)))])
    data += connection.send(h11.Data(data=body)) or b""
    data += connection.send(h11.EndOfMessage()) or b""
    await stream.send_all(data)


def reset_on_close(stream: trio.SocketStream) -> None:
    """Make the socket send a TCP reset when it is closed."""
    linger = struct.pack("ii", 1, 0)
    stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
