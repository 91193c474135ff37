"""Steps for the HTTP client of the product's own engines."""

from collections.abc import Awaitable, Callable
from dataclasses import replace
from datetime import timedelta
from functools import partial

import h11
import trio
import trio.testing
from behave import given, then, when
from behave.runner import Context
from support.forwarding import make_target
from wasabiwell_entry.coordination.orders.errors import OrderAcknowledged, OrderRefused
from wasabiwell_entry.coordination.reservations.errors import ReservationRefused, Reserved
from wasabiwell_entry.state.clock import SystemClock
from wasabiwell_entry.state.orders import LoadModel
from wasabiwell_entry.state.requests import Attempt, GenerateRequest, StreamInterrupted, StreamItem
from wasabiwell_entry.state.targets import Target
from wasabiwell_entry.transport.target.engine import HttpEngineClient
from wasabiwell_entry.transport.target.orders import HttpOrderClient
from wasabiwell_entry.transport.target.pools import TargetPools, open_target_pools

REFUSAL = b"HTTP/1.1 429 Full\r\nContent-Length: 16\r\n\r\n" + b'{"error":"full"}'
FRAMES = (
    b'{"attempt":"r1","offset":0,"count":1,"text":"a"}\n'
    b'{"attempt":"r1","end":true,"tokens":1,"digest":"","finish_reason":"stop"}\n'
)


BODIES = {
    b"/v1/generate": FRAMES,
    b"/v1/reservations": b'{"reservation_id":"res-1"}',
    b"/v1/orders": b"",
}


class DoubleRefusingEngine:
    """Refuses the first request, and writes the refusal again when the next request arrives."""

    def __init__(self) -> None:
        self.requests = 0
        self.runs = 0

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serve a connection."""
        refused_here, body = False, b""
        connection = h11.Connection(h11.SERVER)
        while True:
            connection.receive_data(await stream.receive_some(65_536))
            while True:
                event = connection.next_event()
                if isinstance(event, h11.Request):
                    body = BODIES[event.target]
                if event is h11.NEED_DATA or isinstance(event, h11.EndOfMessage):
                    break
                if isinstance(event, h11.ConnectionClosed):
                    return
            if not isinstance(event, h11.EndOfMessage):
                continue
            self.requests += 1
            if self.requests == 1:
                refused_here = True
                await stream.send_all(REFUSAL)
            else:
                self.runs += 1
                head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
                await stream.send_all((REFUSAL if refused_here else b"") + head + body)
            connection = h11.Connection(h11.SERVER)


def make_attempt(number: int) -> Attempt:
    request = GenerateRequest(
        request_id=f"r{number}",
        organisation="org",
        service="chat",
        messages=b"[]",
        prompt_tokens=10,
        max_tokens=10,
        fingerprint=f"f{number}",
        received=timedelta(),
        deadline=timedelta(days=1_000_000),
    )
    return Attempt(
        attempt_id=f"r{number}",
        request=request,
        priority=0,
        resume_offset=0,
        generated="",
        reservation_id="",
        shards=(),
    )


@given("an engine that writes its first refusal twice and runs all later requests")
def step_engine(context: Context) -> None:
    context.engine = DoubleRefusingEngine()


Call = Callable[[TargetPools, Target, int], Awaitable[object]]


def call_twice(context: Context, call: Call) -> None:
    """Make two calls one after the other, and keep their outcomes in the context."""
    context.items = []

    async def run() -> None:
        async with trio.open_nursery() as nursery:
            serve = partial(trio.serve_tcp, context.engine.serve, 0, host="127.0.0.1")
            listeners = await nursery.start(serve)
            port = listeners[0].socket.getsockname()[1]
            target = replace(make_target(0), address=f"127.0.0.1:{port}")
            async with open_target_pools() as pools:
                for number in range(2):
                    context.items.append(await call(pools, target, number))
            nursery.cancel_scope.cancel()

    trio.run(run)


@when("two requests are sent to it one after the other")
def step_two(context: Context) -> None:
    async def generate(pools: TargetPools, target: Target, number: int) -> list[StreamItem]:
        client = HttpEngineClient(pools, SystemClock())
        async with client.generate(target, make_attempt(number)) as items:
            return [item async for item in items]

    call_twice(context, generate)


@when("two reservations are sent to it one after the other")
def step_two_reservations(context: Context) -> None:
    async def reserve(pools: TargetPools, target: Target, number: int) -> object:
        return await HttpEngineClient(pools, SystemClock()).reserve(target, f"r{number}", 100)

    call_twice(context, reserve)


@then("the first one was refused, and the second one holds memory")
def step_second_reserved(context: Context) -> None:
    first, second = context.items
    assert isinstance(first, ReservationRefused), first
    assert second == Reserved("res-1"), second


@when("two orders are sent to it one after the other")
def step_two_orders(context: Context) -> None:
    async def send(pools: TargetPools, target: Target, number: int) -> object:
        order = LoadModel("model", f"v{number}")
        return await HttpOrderClient(pools).send(target, order, number, timedelta(seconds=2))

    call_twice(context, send)


@then("the first one was refused, and the second one was acknowledged")
def step_second_acknowledged(context: Context) -> None:
    first, second = context.items
    assert isinstance(first, OrderRefused), first
    assert isinstance(second, OrderAcknowledged), second


def was_refused(context: Context, number: int) -> bool:
    last = context.items[number][-1]
    return isinstance(last, StreamInterrupted) and last.refused


@then("the first request was refused")
def step_first(context: Context) -> None:
    assert was_refused(context, 0), context.items


@then("the second request was not refused")
def step_second(context: Context) -> None:
    assert not was_refused(context, 1), context.items


@then("the engine has run {count:d} request")
def step_runs(context: Context, count: int) -> None:
    assert context.engine.runs == count, context.engine.runs
