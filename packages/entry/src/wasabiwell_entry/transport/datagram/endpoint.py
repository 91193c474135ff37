"""UDP endpoint for the messages between entry instances."""

import socket
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

    __slots__ = ("_socket", "dropped")

    def __init__(self, udp_socket: socket.socket) -> None:
        self._socket = udp_socket
        self.dropped = 0

    def send(self, addresses: Iterable[str], notice: Notice) -> None:
        """Send a message to each address; counts a message that the kernel rejects as dropped."""
        data = encode_notice(notice)
        if len(data) > MAX_DATAGRAM_BYTES:
            self.dropped += 1
            log_events.emit(log_events.NOTICE_TOO_LARGE, bytes=len(data))
            return
        for address in addresses:
            host, _, port = address.rpartition(":")
            try:
                self._socket.sendto(data, (host, int(port)))
            except OSError:
                # The next state message repeats the notice, and it detects unreachable hosts.
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
            try:
                receiver.receive(f"{host}:{port}", decode_notice(data))
            except UnreadableNoticeError as error:
                log_events.emit(log_events.NOTICE_UNREADABLE, sender=host, reason=str(error))


@asynccontextmanager
async def open_datagram_endpoint(address: str) -> AsyncIterator[DatagramEndpoint]:
    """Bind a UDP socket to an address `HOST:PORT`; raises `OSError`."""
    host, _, port = address.rpartition(":")
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp_socket:
        udp_socket.setblocking(False)
        udp_socket.bind((host, int(port)))
        yield DatagramEndpoint(udp_socket)
