"""Steps for structured log lines."""

import json
import os
import time
import zlib
from datetime import UTC, datetime, timedelta
from types import SimpleNamespace

import trio
from behave import given, then, when
from behave.runner import Context
from wasabiwell_entry.state import log_events
from wasabiwell_entry.state.log_events import LogEvent
from wasabiwell_entry.transport.logs.const import SAMPLING_INTERVAL
from wasabiwell_entry.transport.logs.lines import LineBuffer
from wasabiwell_entry.transport.logs.writer import LineWriter

START = datetime(2026, 1, 1, tzinfo=UTC)
LINES_PER_SECOND = 40


def log(buffer: LineBuffer, event: LogEvent, second: int = 0, **fields: object) -> None:
    """Pass a record to the buffer, as the logger does."""
    record = SimpleNamespace(
        extra={"event": event.number}, time=START + timedelta(seconds=second), kwargs=fields
    )
    buffer.emit(record)


def lines(buffer: LineBuffer) -> list[dict]:
    return [json.loads(line) for line in buffer.take(100_000_000).splitlines()]


@given("a line buffer")
def step_buffer(context: Context) -> None:
    context.buffer = LineBuffer("n1")


@when('a response to request "{request_id}" is logged')
def step_log_answered(context: Context, request_id: str) -> None:
    log(context.buffer, log_events.ANSWERED, request=request_id, outcome="status 200")


@when("{count:d} failed sends are logged in one second")
def step_failed(context: Context, count: int) -> None:
    for number in range(count):
        log(context.buffer, log_events.SEND_FAILED, request=f"r{number}")


@when("another event is logged a second later")
def step_later(context: Context) -> None:
    log(context.buffer, log_events.PEER_HEARD, second=1, peer="p")


@when("{count:d} requests are routed and answered in one second")
def step_routed(context: Context, count: int) -> None:
    for event in (log_events.ROUTED, log_events.ANSWERED):
        for number in range(count):
            log(context.buffer, event, request=f"r{number}")


@then('the line has the name "{name}", the node "{node}" and the request "{request_id}"')
def step_line(context: Context, name: str, node: str, request_id: str) -> None:
    (line,) = lines(context.buffer)
    assert (line["name"], line["node"], line["request"]) == (name, node, request_id), line
    assert line["time"] == "2026-01-01T00:00:00.000000Z"


@then("{count:d} lines are buffered")
def step_buffered(context: Context, count: int) -> None:
    context.lines = lines(context.buffer)
    assert len(context.lines) == count, len(context.lines)


@then('the last lines report that {count:d} lines of "{name}" were suppressed')
def step_suppressed(context: Context, count: int, name: str) -> None:
    assert context.lines[-2]["counts"] == {name: count}, context.lines[-2]


@then("the sampled lines of both events belong to the same requests")
def step_sampled(context: Context) -> None:
    context.lines = lines(context.buffer)
    logged = {
        name: {line["request"] for line in context.lines if line["name"] == name}
        for name in ("routed", "answered")
    }
    sampled = {
        f"r{number}"
        for number in range(2_000)
        if zlib.crc32(b"r%d" % number) % SAMPLING_INTERVAL == 0
    }
    assert sampled <= logged["routed"]
    assert logged["routed"] == logged["answered"]


@then("at most {count:d} lines are buffered")
def step_at_most(context: Context, count: int) -> None:
    assert len(context.lines) <= count, len(context.lines)


def write_to_pipe(context: Context, count: int, read_bytes: int) -> None:
    """Log failures to a pipe while they are written; read it in small chunks or not at all."""
    context.buffer = LineBuffer("n1")
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    os.set_blocking(reader, False)
    received = bytearray()

    def read() -> None:
        if read_bytes:
            try:
                received.extend(os.read(reader, read_bytes))
            except BlockingIOError:
                return

    async def run() -> None:
        output = LineWriter(context.buffer, writer)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(output.run)
            for number in range(count):
                second = number // LINES_PER_SECOND
                text = "x" * 80
                log(context.buffer, log_events.SEND_FAILED, second, number=number, text=text)
                if number % 10 == 0:
                    await trio.lowlevel.checkpoint()
                    read()
            while read_bytes and received.count(b"\n") < count:
                await trio.sleep(0.001)
                read()
            nursery.cancel_scope.cancel()

    started_at = time.monotonic()
    trio.run(run)
    context.seconds = time.monotonic() - started_at
    context.received = bytes(received)
    os.close(reader)
    os.close(writer)


@given("a process that logs {count:d} failures in {seconds:d} seconds to a pipe that is never read")
def step_blocked(context: Context, count: int, seconds: int) -> None:
    assert count <= seconds * LINES_PER_SECOND
    write_to_pipe(context, count, 0)


@given(
    "a process that logs {count:d} failures in {seconds:d} seconds to a pipe that is read slowly"
)
def step_slow(context: Context, count: int, seconds: int) -> None:
    context.count = count
    write_to_pipe(context, count, 3_000)


@then("it took less than {seconds:d} seconds")
def step_elapsed(context: Context, seconds: int) -> None:
    assert context.seconds < seconds, context.seconds


@then("at most {size:d} bytes are buffered")
def step_bytes(context: Context, size: int) -> None:
    buffered = context.buffer.take(100_000_000)
    assert 0 < len(buffered) <= size, len(buffered)


@then("lines were dropped")
def step_dropped(context: Context) -> None:
    assert context.buffer.dropped > 0


@then("the reader got {count:d} complete lines in order")
def step_complete(context: Context, count: int) -> None:
    numbers = [json.loads(line)["number"] for line in context.received.splitlines()]
    assert numbers == list(range(count)), numbers[:20]
