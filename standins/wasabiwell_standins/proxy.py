"""Fault-injecting TCP proxy.

`POST /control` on the control address sets faults. `cut` closes open connections and rejects new
ones. `silent_to_server` and `silent_to_client` stop forwarding in one direction; connections that
had data to forward meanwhile stay silent after the flag is cleared, new ones work. `delay_s` delays
each chunk of data.
"""

from dataclasses import dataclass

import click
import msgspec
import trio

from wasabiwell_standins.asgi import HttpExchange, serve_http

RECEIVE_BYTES = 65_536


@dataclass(slots=True)
class Faults:
    """Active faults; the field names are the keys of `POST /control`."""

    cut: bool = False
    silent_to_server: bool = False
    silent_to_client: bool = False
    delay_s: float = 0.0


class Proxy:
    """Forwards TCP connections to one target address."""

    def __init__(self, target: str) -> None:
        self.target = target
        self.faults = Faults()
        self._reset_requested = trio.Event()
        self._refused_ports: set[int] = set()
        self.connections = 0
        self.bytes_relayed = 0
        self._silent_connections = {"silent_to_server": 0, "silent_to_client": 0}

    async def serve(self, client: trio.SocketStream) -> None:
        """Forward one connection until either end closes it or `reset` is called."""
        if self.faults.cut:
            await trio.aclose_forcefully(client)
            return
        host, _, port = self.target.rpartition(":")
        try:
            server = await trio.open_tcp_stream(host, int(port))
        except OSError:
            self._refused_ports.add(client.socket.getpeername()[1])
            await trio.aclose_forcefully(client)
            return
        self._refused_ports.discard(client.socket.getpeername()[1])
        self.connections += 1
        number = self.connections
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._close_on_reset, nursery.cancel_scope)
            nursery.start_soon(
                self._relay, client, server, "silent_to_server", number, nursery.cancel_scope
            )
            nursery.start_soon(
                self._relay, server, client, "silent_to_client", number, nursery.cancel_scope
            )
        await trio.aclose_forcefully(client)
        await trio.aclose_forcefully(server)

    def is_refused(self, client_port: int) -> bool:
        """Return whether the last connection from a port was closed as the target refused it."""
        return client_port in self._refused_ports

    def reset(self) -> None:
        """Close all open connections."""
        self._reset_requested.set()
        self._reset_requested = trio.Event()

    def silence_open_connections(self, flag: str) -> None:
        """Stop forwarding in the direction of `flag` on the open connections, without an end."""
        self._silent_connections[flag] = self.connections

    async def _close_on_reset(self, cancel_scope: trio.CancelScope) -> None:
        await self._reset_requested.wait()
        cancel_scope.cancel()

    async def _relay(
        self,
        source: trio.SocketStream,
        destination: trio.SocketStream,
        flag: str,
        number: int,
        cancel_scope: trio.CancelScope,
    ) -> None:
        try:
            while data := await source.receive_some(RECEIVE_BYTES):
                if getattr(self.faults, flag) or number <= self._silent_connections[flag]:
                    await trio.sleep_forever()
                if self.faults.delay_s:
                    await trio.sleep(self.faults.delay_s)
                await destination.send_all(data)
                self.bytes_relayed += len(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        cancel_scope.cancel()

    async def handle_control(self, exchange: HttpExchange) -> None:
        """Handle a control request."""
        if exchange.method == "POST":
            for name, value in msgspec.json.decode(exchange.body).items():
                setattr(self.faults, name, value)
            if self.faults.cut:
                self.reset()
        await exchange.reply(200, {"faults": self.faults, "connections": self.connections})


@click.command()
@click.option("--address", required=True, help="HOST:PORT to listen on.")
@click.option("--target", required=True, help="HOST:PORT to forward connections to.")
@click.option("--control-address", required=True, help="HOST:PORT of the control interface.")
def main(address: str, target: str, control_address: str) -> None:
    """Run the proxy."""

    async def run() -> None:
        proxy = Proxy(target)
        host, _, port = address.rpartition(":")
        control_host, _, control_port = control_address.rpartition(":")
        async with trio.open_nursery() as nursery:
            nursery.start_soon(serve_http, proxy.handle_control, control_host, int(control_port))
            await trio.serve_tcp(proxy.serve, int(port), host=host)

    trio.run(run)


if __name__ == "__main__":
    main()
