"""Steps for the eras of the store in the answers to its client."""

from collections import Counter
from collections.abc import Awaitable, Callable
from datetime import timedelta
from functools import partial
from typing import Any, TypeVar

import trio
from behave import given, then, when
from behave.runner import Context
from wasabiwell_entry.state.platform import StoreUnavailable
from wasabiwell_entry.state.store_revision import StoreRevision
from wasabiwell_platform.store import (
    MAX_ROWS,
    RowHistoryLost,
    StoreClient,
    StoredRows,
    read_all_rows,
)
from wasabiwell_standins.asgi import HttpExchange, serve_http
from wasabiwell_standins.users_platform.store import StoreStandIn

HOST, PORT = "127.67.9.1", 8223
TABLE = "servers"
START_SECONDS = 5.0

Result = TypeVar("Result")
Handler = Callable[[HttpExchange], Awaitable[None]]


def call_store(handler: Handler, call: Callable[[StoreClient], Awaitable[Result]]) -> Result:
    """Serve a store, and return the result of a call to it."""

    async def run() -> Result:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(serve_http, handler, HOST, PORT)
            with trio.fail_after(START_SECONDS):
                await _wait_listening()
            client = StoreClient(f"{HOST}:{PORT}", Counter())
            result = await call(client)
            await client.close()
            nursery.cancel_scope.cancel()
        return result

    return trio.run(run)


async def _wait_listening() -> None:
    while True:
        try:
            await (await trio.open_tcp_stream(HOST, PORT)).aclose()
            return
        except OSError:
            await trio.sleep(0.02)


@given('a store that answers with the header "{header}"')
def step_header(context: Context, header: str) -> None:
    pairs = [item.partition(": ") for item in header.split("; ")]
    headers = [(name.encode(), value.encode()) for name, _, value in pairs]

    async def handle(exchange: HttpExchange) -> None:
        await exchange.reply(200, {"rows": [], "row_version": 7, "truncated": False}, headers)

    context.handler = handle


@when("its rows are read")
def step_read(context: Context) -> None:
    context.read = call_store(context.handler, lambda client: client.rows(TABLE))


@then("the read is of era {era:d}")
def step_era(context: Context, era: int) -> None:
    assert context.read == StoredRows((), StoreRevision(era, 7)), context.read


@then("the read is unavailable")
def step_unavailable(context: Context) -> None:
    assert isinstance(context.read, StoreUnavailable), context.read


@given(
    "a store with {before:d} changes that returns from a copy of {copied:d} and has {more:d} others"
)
def step_returned(context: Context, before: int, copied: int, more: int) -> None:
    context.store = store = StoreStandIn()
    for number in range(copied):
        store.put_row(TABLE, f"i-{number}", b"1")
    copy = store.copy()
    for number in range(copied, before):
        store.put_row(TABLE, f"i-{number}", b"1")
    context.revision = StoreRevision(store.era or 0, store.version)
    store.restore(copy)
    for number in range(more):
        store.put_row(TABLE, f"j-{number}", b"1")
    assert store.version > before


@when("its changes are read after the revision of before")
def step_changes(context: Context) -> None:
    call = partial(StoreClient.changes, table=TABLE, after=context.revision, wait=timedelta())
    context.read = call_store(context.store.handle, call)


@then("the whole table has to be read again")
def step_lost(context: Context) -> None:
    assert isinstance(context.read, RowHistoryLost), context.read


@given("a store that returns from a copy while the parts of its table are read")
def step_returns_between(context: Context) -> None:
    store = StoreStandIn()
    for number in range(MAX_ROWS):
        store.put_row(TABLE, f"i-{number:04}", b"1")
    copy = store.copy()
    store.put_row(TABLE, "i-0000", b"2")
    store.put_row(TABLE, f"i-{MAX_ROWS:04}", b"2")
    reads: list[Any] = []

    async def handle(exchange: HttpExchange) -> None:
        reads.append(exchange.path)
        await store.handle(exchange)
        if len(reads) == 1:
            store.restore(copy)
            store.put_row(TABLE, f"i-{MAX_ROWS:04}", b"3")

    context.handler = handle


@when("its table is read")
def step_read_table(context: Context) -> None:
    context.read = call_store(context.handler, lambda client: read_all_rows(client, TABLE))


@then("the rows are those of the later era")
def step_later_rows(context: Context) -> None:
    assert isinstance(context.read, StoredRows), context.read
    values = [row.value for row in context.read.rows]
    assert values == [b"1"] * MAX_ROWS + [b"3"], Counter(values)
    assert {row.revision.era for row in context.read.rows} == {context.read.revision.era} == {2}
