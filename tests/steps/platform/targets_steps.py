"""Steps for connections to targets."""

import socket
import struct
from collections.abc import Awaitable, Callable
from dataclasses import replace

import trio
import trio.testing
from behave import given, then
from behave.runner import Context
from support.forwarding import make_target
from wasabiwell_platform.targets import HttpTargets

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
Behaviour = Callable[[trio.SocketListener], Awaitable[None]]


async def keep_connection(listener: trio.SocketListener) -> None:
    async with await listener.accept():
        await trio.sleep_forever()


async def close_connection(listener: trio.SocketListener) -> None:
    await (await listener.accept()).aclose()


async def reset_connection(listener: trio.SocketListener) -> None:
    stream = await listener.accept()
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    await stream.aclose()


async def close_listener(listener: trio.SocketListener) -> None:
    await trio.sleep(0.01)
    await listener.aclose()


BEHAVIOURS: dict[str, Behaviour] = {
    "keeps connections open": keep_connection,
    "closes connections after it accepted them": close_connection,
    "resets connections after it accepted them": reset_connection,
    "closes its listener with connections queued": close_listener,
    "has no listener": trio.SocketListener.aclose,
}


@given("a target that {does}")
def step_target(context: Context, does: str) -> None:
    async def run() -> bool:
        (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
        port = listener.socket.getsockname()[1]
        async with trio.open_nursery() as nursery:
            nursery.start_soon(BEHAVIOURS[does], listener)
            await trio.testing.wait_all_tasks_blocked()
            target = replace(make_target(0), address=f"127.0.0.1:{port}")
            accepted = await HttpTargets().accepts_connections(target)
            nursery.cancel_scope.cancel()
        return accepted

    context.accepted = trio.run(run)


@then("the target counts as {status}")
def step_status(context: Context, status: str) -> None:
    assert context.accepted == (status == "living")
