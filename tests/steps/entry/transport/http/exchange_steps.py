"""Steps for an HTTP request and its response."""

from typing import Any

import trio
import trio.testing
from behave import given, then, when
from behave.runner import Context
from wasabiwell_entry.transport.http.asgi import HttpExchange


class SlowServer:
    """Records a message only after it was sent completely, as hypercorn does."""

    def __init__(self) -> None:
        self.sent: list[str] = []

    async def send(self, message: dict[str, Any]) -> None:
        """Send a message, which takes a second."""
        await trio.sleep(1)
        self.sent.append(message["type"])

    async def receive(self) -> dict[str, Any]:
        """Report that the caller has disconnected."""
        await trio.lowlevel.checkpoint()
        return {"type": "http.disconnect"}


@given("a server that sends slowly")
@given("a server that reports the caller's disconnect")
def step_server(context: Context) -> None:
    context.server = SlowServer()
    context.exchange = HttpExchange(
        {"http_version": "1.1"}, context.server.receive, context.server.send
    )


def run_with_mock_clock(function: Any) -> Any:
    return trio.run(function, clock=trio.testing.MockClock(autojump_threshold=0))


@when("a request is cancelled during the start of its response")
def step_cancelled(context: Context) -> None:
    async def cancel() -> None:
        with trio.move_on_after(0.5):
            await context.exchange.start(200, [])

    run_with_mock_clock(cancel)


@when("the response is finished")
def step_finished(context: Context) -> None:
    run_with_mock_clock(context.exchange.finish)


@then("the server has started the response")
def step_started(context: Context) -> None:
    assert context.server.sent == ["http.response.start"], context.server.sent


def is_cancelled(context: Context) -> bool:
    async def serve() -> bool:
        with trio.CancelScope() as scope:
            await context.exchange.cancel_on_disconnect(scope)
        return scope.cancel_called

    return bool(run_with_mock_clock(serve))


@then("the request is cancelled")
def step_is_cancelled(context: Context) -> None:
    assert is_cancelled(context)


@then("the request is not cancelled")
def step_not_cancelled(context: Context) -> None:
    assert not is_cancelled(context)
