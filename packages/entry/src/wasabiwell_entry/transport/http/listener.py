"""Accepts HTTP connections; one that fails ends alone and not the whole process."""

import errno
from collections.abc import Awaitable, Callable, Mapping
from typing import Any

import trio
from hypercorn.config import Config
from hypercorn.typing import AppWrapper
from hypercorn.utils import wrap_app

from wasabiwell_entry.coordination.intake import Intake
from wasabiwell_entry.state import log_events
from wasabiwell_entry.transport.http.connections import (
    Connection,
    LimitsSource,
    has_input,
    transport_socket,
)
from wasabiwell_entry.transport.http.intake import ConnectionIntake

FailureObserver = Callable[[Exception], None]
Listener = trio.SocketListener | trio.SSLListener[Any]

CAPACITY_ERRORS = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOMEM, errno.ENOBUFS})
"""A new connection cannot be accepted until another one ends."""
CAPACITY_RETRY_SECONDS = 0.1


async def serve_http(
    application: Any,
    config: Config,
    shutdown: Callable[[], Awaitable[None]],
    observe_failure: FailureObserver = lambda error: None,
    limits: Mapping[int, LimitsSource] | None = None,
    intake: Intake | None = None,
    caller_port: int | None = None,
) -> None:
    """Serve an ASGI application until `shutdown` returns, then finish the open connections.

    Connections that are still open after the graceful timeout of the configuration are cancelled.
    `limits` returns the limits in force of the connections to a port; other ports have those of the
    configuration. `intake` accounts for what the connections send. Connections to other ports than
    `caller_port`, if it is given, are control connections.
    The library's own entry point ends when the code of one connection raises an error: two of its
    tasks may write to a connection at once, which a malformed request is enough to bring about.
    """
    app = wrap_app(application, config.wsgi_max_body_size, "asgi")
    async with trio.open_nursery() as nursery:
        server = HttpServer(
            app, config, observe_failure, nursery, limits or {}, intake, caller_port
        )
        listeners = _open_listeners(config)
        try:
            async with trio.open_nursery() as accepting:
                for listener in listeners:
                    accepting.start_soon(server.accept, listener)
                await shutdown()
                accepting.cancel_scope.cancel()
        finally:
            server.stop()
            async with trio.open_nursery() as closing:
                for listener in listeners:
                    closing.start_soon(server.close, listener)
            server.log_open_connections()
    server.log_cut_connections()


class HttpServer:
    """Accepts connections and serves them, each in a task of its own."""

    __slots__ = (
        "_accepted_at_close",
        "_app",
        "_caller_port",
        "_config",
        "_connections",
        "_cut",
        "_ended",
        "_intake",
        "_limits",
        "_nursery",
        "_observe_failure",
        "_places",
        "_stopping",
    )

    def __init__(
        self,
        app: AppWrapper,
        config: Config,
        observe_failure: FailureObserver,
        nursery: trio.Nursery,
        limits: Mapping[int, LimitsSource],
        intake: Intake | None = None,
        caller_port: int | None = None,
    ) -> None:
        self._app = app
        self._intake = intake
        self._caller_port = caller_port
        self._ended = trio.Event()
        self._config = config
        self._observe_failure = observe_failure
        self._nursery = nursery
        self._limits = limits
        self._places = {False: 0, True: 0}
        """The accepted connections, of callers and control connections."""
        self._connections: dict[Connection, bool] = {}
        """The open connections, and whether they are control connections."""
        self._stopping = False
        self._accepted_at_close = 0
        self._cut: list[Connection] = []

    async def accept(self, listener: Listener) -> None:
        """Accept connections until the task is cancelled."""
        while True:
            await self._make_place(transport_socket(listener))
            try:
                stream = await listener.accept()
            except OSError as error:
                if error.errno not in CAPACITY_ERRORS:
                    raise
                log_events.emit(log_events.CONNECTION_FAILED, error=repr(error))
                await trio.sleep(CAPACITY_RETRY_SECONDS)
                continue
            self._start(stream)

    def _start(self, stream: Any) -> None:
        """Serve an accepted connection, which counts from now on, in a task of its own."""
        control = self._is_control(transport_socket(stream))
        self._places[control] += 1
        self._nursery.start_soon(self._serve, stream, control)

    async def _make_place(self, socket: trio.socket.SocketType) -> None:
        """Wait for a new connection, and close the longest idle one if there are too many.

        Without an idle one, the slowest body is given up; a busy connection is never closed.
        """
        if self._intake is None:
            return
        control = self._is_control(socket)
        limits = self._intake.limits
        limit = limits.control_connections if control else limits.connections
        if limit is None:
            return
        if not has_input(socket):
            await trio.lowlevel.wait_readable(socket)
        while self._places[control] >= limit:
            idle = [
                item
                for item, is_control in self._connections.items()
                if is_control is control and item.idle and not item.displaced
            ]
            displaced = min(idle, key=lambda item: item.idle_since, default=None)
            if displaced is not None:
                displaced.displace()
                self._intake.close_connection(displaced.address)
            else:
                self._intake.account.give_up_slowest(control)
            ended = self._ended
            with trio.move_on_after(CAPACITY_RETRY_SECONDS):
                await ended.wait()

    def _is_control(self, socket: trio.socket.SocketType) -> bool:
        return self._caller_port is not None and socket.getsockname()[1] != self._caller_port

    async def close(self, listener: Listener) -> None:
        """Accept the connections that the kernel has completed, as a close resets them, and close.

        A new connection may come at any time, so their number is limited.
        """
        socket = transport_socket(listener)
        try:
            for _ in range(self._config.backlog):
                if not has_input(socket):
                    break
                self._start(await listener.accept())
                self._accepted_at_close += 1
        except OSError as error:
            # The connections that wait are lost, those that are open go on.
            log_events.emit(log_events.CONNECTION_FAILED, error=repr(error))
        finally:
            socket.close()

    def stop(self) -> None:
        """Close each connection as soon as it is idle, at the latest after the graceful timeout."""
        self._stopping = True
        for connection in self._connections:
            connection.stop()
        self._nursery.cancel_scope.deadline = trio.current_time() + self._config.graceful_timeout

    def log_open_connections(self) -> None:
        """Log how many connections are open when the listeners have closed."""
        idle = sum(connection.idle for connection in self._connections)
        log_events.emit(
            log_events.LISTENERS_CLOSED,
            queued=self._accepted_at_close,
            busy=len(self._connections) - idle,
            idle=idle,
        )

    def log_cut_connections(self) -> None:
        """Log how many connections were cancelled, if any."""
        if self._cut:
            busy = sum(not connection.idle for connection in self._cut)
            log_events.emit(log_events.CONNECTIONS_CUT, count=len(self._cut), busy=busy)

    async def _serve(self, stream: Any, control: bool) -> None:
        try:
            port = transport_socket(stream).getsockname()[1]
            intake = None if self._intake is None else ConnectionIntake(self._intake, control)
            limits = self._limits.get(port)
            connection = Connection(self._app, self._config, stream, limits, intake)
            await self._serve_connection(connection, control)
        except Exception as error:
            log_events.emit(log_events.CONNECTION_FAILED, error=repr(error))
            self._observe_failure(error)
        finally:
            # The library leaves the stream open after a failed handshake and a cancellation.
            try:
                await trio.aclose_forcefully(stream)
            finally:
                self._places[control] -= 1
                self._ended.set()
                self._ended = trio.Event()

    async def _serve_connection(self, connection: Connection, control: bool) -> None:
        self._connections[connection] = control
        if self._stopping:
            connection.stop()
        try:
            await connection.serve()
        finally:
            del self._connections[connection]
            if self._nursery.cancel_scope.cancel_called:
                self._cut.append(connection)


def _open_listeners(config: Config) -> list[Listener]:
    sockets = config.create_sockets()
    listeners: list[Listener] = []
    for socket in (*sockets.secure_sockets, *sockets.insecure_sockets):
        socket.listen(config.backlog)
        listeners.append(trio.SocketListener(trio.socket.from_stdlib_socket(socket)))
    tls = config.create_ssl_context()
    if tls is None:
        return listeners
    return [trio.SSLListener(listener, tls, https_compatible=True) for listener in listeners]
