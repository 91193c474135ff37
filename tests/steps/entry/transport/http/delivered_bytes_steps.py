"""Steps for the bytes of a connection that have reached its caller, on loopback."""

import socket
import time

import trio
from behave import given, then
from behave.runner import Context
from wasabiwell_entry.transport.http.connections import unsent_bytes

SMALL_BUFFER_BYTES = 4_096
PAUSE_SECONDS = 0.2
"""Time in which the kernel moves what it can between two sockets on loopback."""


class UnreadConnection:
    """Two connected sockets; the sender has filled all buffers on the way to the caller."""

    def __init__(self) -> None:
        with socket.socket() as listening:
            listening.bind(("127.0.0.1", 0))
            listening.listen()
            self.caller = socket.socket()
            self.caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
            self.caller.connect(listening.getsockname())
            self.sender, _ = listening.accept()
        self.sender.setblocking(False)
        self._wrapped = trio.socket.from_stdlib_socket(self.sender)
        self.sent = 0
        self.fill()

    def fill(self) -> None:
        """Send until the kernel takes no more."""
        try:
            while True:
                self.sent += self.sender.send(bytes(65_536))
        except BlockingIOError:
            time.sleep(PAUSE_SECONDS)

    def waiting(self) -> int:
        """Return how many bytes wait for the caller."""
        return unsent_bytes(self._wrapped)

    def delivered(self) -> int:
        """Return how many bytes have reached the caller."""
        return self.sent - self.waiting()

    def close(self) -> None:
        """Close both sockets."""
        self.sender.close()
        self.caller.close()


@given("a connection on which more is sent than its caller reads")
def step_connection(context: Context) -> None:
    context.connection = UnreadConnection()
    context.add_cleanup(context.connection.close)


@then("the bytes that have reached the caller do not grow while it reads nothing")
def step_constant(context: Context) -> None:
    before = context.connection.delivered()
    assert 0 < before < context.connection.sent, (before, context.connection.sent)
    time.sleep(5 * PAUSE_SECONDS)
    context.connection.fill()
    assert context.connection.delivered() == before


@then("they grow when it reads {count:d} bytes")
def step_grow(context: Context, count: int) -> None:
    before = context.connection.delivered()
    left = count
    while left > 0:
        left -= len(context.connection.caller.recv(left))
    time.sleep(PAUSE_SECONDS)
    assert context.connection.delivered() > before


@then("a closed connection tells no number")
def step_closed(context: Context) -> None:
    context.connection.sender.close()
    assert context.connection.waiting() == 0
