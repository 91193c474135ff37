"""Callers that keep their connections and stay with their instance until it is gone."""

import select
from dataclasses import dataclass
from typing import Any

import h11
import trio

from wasabiwell_standins.users_platform.attempts import Attempt
from wasabiwell_standins.users_platform.caller import (
    CONNECT_SECONDS,
    Caller,
    CallerRequest,
    ConnectFailedError,
    Reply,
    encode_body,
)

READ_BYTES = 65_536
REUSE_SECONDS = 12.0
"""Callers reuse connections that have been idle for up to four fifths of the idle timeout."""


@dataclass(slots=True)
class KeptConnection:
    """A connection to an instance, with the time at which its last response ended."""

    address: str
    stream: trio.SocketStream
    protocol: h11.Connection
    requests: int = 0
    idle_since: float = 0.0

    @property
    def client_port(self) -> int:
        """Return the local port."""
        return int(self.stream.socket.getsockname()[1])

    @property
    def usable(self) -> bool:
        """Return whether an idle connection may be used again.

        One that is readable was closed, or has bytes that belong to no request.
        """
        poll = select.poll()
        poll.register(self.stream.socket.fileno(), select.POLLIN)
        return not poll.poll(0) and trio.current_time() - self.idle_since < REUSE_SECONDS

    async def close(self) -> None:
        """Close the connection."""
        await trio.aclose_forcefully(self.stream)


class ConnectionBroken(trio.BrokenResourceError):
    """A connection ended before the response was complete."""


class KeepingCaller(Caller):
    """A caller with kept connections, used by several tasks at the same time.

    It uses its open connections as long as they last, and opens new ones to the same instance. If
    `stays` is set, it does so until that instance accepts none any more, otherwise until a response
    has `Connection: close`.
    """

    def __init__(self, *arguments: Any, stays: bool, instance: str | None = None) -> None:
        """Take the arguments of `Caller`, and the address of an instance to begin with."""
        super().__init__(*arguments)
        self._stays = stays
        self._instance = instance
        self._idle: list[KeptConnection] = []

    async def close(self) -> None:
        """Close the idle connections."""
        while self._idle:
            await self._idle.pop().close()

    async def _choose_address(self) -> str | None:
        while self._idle:
            if self._idle[-1].usable:
                return self._idle[-1].address
            await self._idle.pop().close()
        if self._instance is None or self._instance in self._failed_addresses:
            self._addresses_expire_at = 0.0
            self._instance = await super()._choose_address()
        return self._instance

    async def _exchange(self, request: CallerRequest, reply: Reply, attempt: Attempt) -> float:
        connection = await self._take_connection(attempt.address)
        attempt.kept = connection.requests > 0
        kept = False
        try:
            retry_after = await self._send_on(connection, request, reply, attempt)
            kept = connection.protocol.our_state is h11.DONE
            kept = kept and connection.protocol.their_state is h11.DONE
            return retry_after
        except (trio.BrokenResourceError, h11.ProtocolError):
            if self._is_refused(connection.client_port):
                raise ConnectFailedError from None
            raise ConnectionBroken from None
        finally:
            if kept:
                connection.protocol.start_next_cycle()
                connection.requests += 1
                connection.idle_since = trio.current_time()
                self._idle.append(connection)
            else:
                if not self._stays and self._instance == connection.address:
                    self._instance = None
                await connection.close()

    async def _take_connection(self, address: str) -> KeptConnection:
        """Return an idle connection to an address, or a new one; raises `ConnectFailedError`."""
        if self._idle and self._idle[-1].address == address:
            return self._idle.pop()
        host, _, port = self._proxies.get(address, address).rpartition(":")
        try:
            with trio.fail_after(CONNECT_SECONDS):
                stream = await trio.open_tcp_stream(host, int(port))
        except (OSError, trio.TooSlowError):
            raise ConnectFailedError from None
        return KeptConnection(address, stream, h11.Connection(h11.CLIENT))

    async def _send_on(
        self, connection: KeptConnection, request: CallerRequest, reply: Reply, attempt: Attempt
    ) -> float:
        """Send an attempt and read its response; return the retry delay in seconds."""
        protocol, stream = connection.protocol, connection.stream
        body = encode_body(request)
        headers = self._headers(request, attempt)
        if body is not None:
            headers.append(("Content-Length", str(len(body))))
        method = "POST" if body is not None else "GET"
        head = h11.Request(method=method, target=request.path, headers=headers)
        sent = protocol.send(head) or b""
        if body is not None:
            sent += protocol.send(h11.Data(data=body)) or b""
        sent += protocol.send(h11.EndOfMessage()) or b""
        await stream.send_all(sent)
        attempt.sent_at = trio.current_time()
        data = bytearray()
        response_headers: dict[bytes, bytes] = {}
        while True:
            match protocol.next_event():
                case h11.NEED_DATA:
                    protocol.receive_data(await stream.receive_some(READ_BYTES))
                case h11.Response() as response:
                    attempt.status = response.status_code
                    response_headers = dict(response.headers)
                case h11.Data(data=chunk):
                    if reply.first_byte_s is None:
                        reply.first_byte_s = trio.current_time() - attempt.started_at
                    data += chunk
                case h11.EndOfMessage():
                    return self._finish(request, reply, attempt, response_headers, bytes(data))
                case _:
                    raise ConnectionBroken
