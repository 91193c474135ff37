"""UDP endpoint for the messages between entry instances."""

import socket
from collections import Counter
from collections.abc import AsyncIterator, Iterable
from contextlib import asynccontextmanager

import trio

from wasabiwell_entry.coordination.exchange.ports import NoticeReceiver
from wasabiwell_entry.protocol.notices import UnreadableNoticeError, decode_notice, encode_notice
from wasabiwell_entry.state import log_events
from wasabiwell_entry.state.exchange import Notice

MAX_DATAGRAM_BYTES = 60_000
"""Largest message that is sent, below the UDP payload limit of 65,507 bytes."""


class DatagramEndpoint:
    """Sends and receives messages on one UDP socket; implements `NoticePort`."""

    __slots__ = ("_failures", "_socket", "dropped")

    def __init__(self, udp_socket: socket.socket, failures: Counter[str]) -> None:
        """Count received messages that cannot be decoded or applied in `failures`, by reason."""
        self._socket = udp_socket
        self._failures = failures
        self.dropped = 0

    def send(self, addresses: Iterable[str], notice: Notice) -> None:
        """Send a message to each address; counts one that cannot be sent as dropped."""
        data = encode_notice(notice)
        if len(data) > MAX_DATAGRAM_BYTES:
            self.dropped += 1
            log_events.emit(log_events.NOTICE_TOO_LARGE, bytes=len(data))
            return
        for address in addresses:
            host, _, port = address.rpartition(":")
            try:
                # The socket would look a name up, which blocks the process.
                socket.inet_pton(socket.AF_INET, host)
                self._socket.sendto(data, (host, int(port)))
            except (OSError, ValueError, OverflowError):
                # The next state message repeats the notice, and it detects unreachable hosts.
                # Addresses that peers report may be malformed.
                self.dropped += 1

    async def receive(self, receiver: NoticeReceiver) -> None:
        """Pass each message and its sender's address to the receiver until cancelled.

        Messages mostly arrive singly, so this waits before each read: a read that finds no
        message costs more than the wait.
        """
        while True:
            await trio.lowlevel.wait_readable(self._socket)
            try:
                data, (host, port) = self._socket.recvfrom(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                continue
            except OSError as error:
                log_events.emit(log_events.NOTICE_UNREADABLE, sender="", reason=repr(error))
                continue
            self._apply(f"{host}:{port}", data, receiver)

    def _apply(self, sender: str, data: bytes, receiver: NoticeReceiver) -> None:
        """Pass a message to the receiver; one that raises an error is logged and dropped."""
        try:
            notice = decode_notice(data)
        except UnreadableNoticeError as error:
            self._failures["unreadable"] += 1
            host = sender.rpartition(":")[0]
            log_events.emit(log_events.NOTICE_UNREADABLE, sender=host, reason=str(error))
            return
        try:
            receiver.receive(sender, notice)
        except Exception as error:
            self._failures["failed"] += 1
            log_events.emit(
                log_events.NOTICE_FAILED,
                notice=type(notice).__name__,
                sender=sender,
                error=repr(error),
            )


@asynccontextmanager
async def open_datagram_endpoint(
    address: str, failures: Counter[str]
) -> AsyncIterator[DatagramEndpoint]:
    """Bind a UDP socket to an address `HOST:PORT`; raises `OSError`.

    Received messages that cannot be decoded or applied are counted in `failures`, by reason.
    """
    host, _, port = address.rpartition(":")
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp_socket:
        udp_socket.setblocking(False)
        udp_socket.bind((host, int(port)))
        yield DatagramEndpoint(udp_socket, failures)
