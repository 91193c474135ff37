"""The platform's store: tables of rows, transactions, long polling, faults, and copies."""

import enum
from base64 import b64decode, b64encode
from collections import deque
from dataclasses import dataclass, field
from typing import Any

import msgspec
import trio

from wasabiwell_standins.asgi import HttpExchange, serve_http

HISTORY_LENGTH = 10_000
SILENT_SECONDS = 60.0
"""How long the store keeps a connection open without responding."""


class Outage(enum.Enum):
    """How the store fails: with an HTTP status, or with no response for `SILENT`."""

    BUSY = 503
    MANY = 429
    SILENT = 0


@dataclass(slots=True)
class StoreFaults:
    """Active faults.

    `delay_s` is added to each call. `lose_responses` is the number of coming transactions that are
    committed without a response. With `hang_old_polls`, polls that are open while the store returns
    from a copy get no response.
    """

    outage: Outage | None = None
    delay_s: float = 0.0
    lose_responses: int = 0
    hang_old_polls: bool = False


@dataclass(frozen=True, slots=True)
class RowKey:
    """Table and key of a row."""

    table: str
    key: str


@dataclass(frozen=True, slots=True)
class StoreCopy:
    """All rows of the store, with their versions and the changes that led to them."""

    version: int
    rows: dict[RowKey, tuple[bytes, int]] = field(repr=False)
    changes: tuple[tuple[int, RowKey], ...] = field(repr=False)


@dataclass(frozen=True, slots=True)
class LostRow:
    """A row that differs from that of the copy; it has no value if it was removed."""

    row_key: RowKey
    value: bytes | None = field(repr=False)


@dataclass(slots=True)
class StoreStandIn:
    """In-memory store; `version` is the number of transactions so far.

    `era` counts the returns from a copy, and is sent in each response. A store of `era` None sends
    none.
    """

    faults: StoreFaults = field(default_factory=StoreFaults)
    version: int = 0
    era: int | None = 1
    call_count: int = 0
    _rows: dict[RowKey, tuple[bytes, int]] = field(default_factory=dict)
    _changes: deque[tuple[int, RowKey]] = field(default_factory=deque)
    _last_discarded_version: int = 0
    _changed: trio.Event = field(default_factory=trio.Event)

    async def serve(self, host: str, port: int) -> None:
        """Serve until cancelled."""
        await serve_http(self.handle, host, port)

    def put_row(self, table: str, key: str, value: bytes | None) -> None:
        """Write a row, or remove it if `value` is None, without a precondition."""
        self._write([(RowKey(table, key), value)])

    def put_json(self, table: str, key: str, value: Any) -> None:
        """Write a row with a JSON value."""
        self.put_row(table, key, msgspec.json.encode(value))

    def row_count(self, table: str) -> int:
        """Return the number of rows of a table."""
        return sum(1 for row_key in self._rows if row_key.table == table)

    def discard_history(self) -> None:
        """Discard the change history, so that polls for older changes get status 410."""
        self._last_discarded_version = self.version
        self._changes.clear()
        self._notify_waiters()

    def has_changed(self, row_key: RowKey, after: int) -> bool:
        """Return whether a row has changed after a version, as far as the history goes back."""
        return any(version > after and key == row_key for version, key in self._changes)

    def copy(self) -> StoreCopy:
        """Return a copy of all rows."""
        return StoreCopy(self.version, dict(self._rows), tuple(self._changes))

    def restore(self, copy: StoreCopy) -> list[LostRow]:
        """Return to a copy, with its versions and a new era; return the rows that are lost."""
        lost = [
            LostRow(row_key, self._rows[row_key][0] if row_key in self._rows else None)
            for row_key in sorted({*self._rows, *copy.rows}, key=lambda key: (key.table, key.key))
            if self._rows.get(row_key) != copy.rows.get(row_key)
        ]
        self.version = copy.version
        self.era = (self.era or 0) + 1
        self._rows = dict(copy.rows)
        self._changes = deque(copy.changes)
        self._last_discarded_version = min(self._last_discarded_version, copy.version)
        self._notify_waiters()
        return lost

    async def handle(self, exchange: HttpExchange) -> None:
        """Handle a call, subject to the active faults."""
        self.call_count += 1
        await trio.sleep(self.faults.delay_s)
        match self.faults.outage:
            case Outage.SILENT:
                await trio.sleep(SILENT_SECONDS)
                return
            case Outage() as outage:
                await self._reply(exchange, outage.value, {})
                return
        match exchange.path:
            case "/rows-get":
                await self._reply(exchange, 200, self._read(exchange))
            case "/rows-feed":
                await self._wait_for_changes(exchange)
            case "/rows-tx":
                await self._transact(exchange)
            case _:
                await self._reply(exchange, 404, {})

    async def _reply(self, exchange: HttpExchange, status: int, value: dict[str, Any]) -> None:
        headers = [] if self.era is None else [(b"store-era", b"%d" % self.era)]
        await exchange.reply(status, value, headers)

    def _read(self, exchange: HttpExchange) -> dict[str, Any]:
        table, limit = exchange.query("table"), int(exchange.query("limit", "500"))
        start, end = exchange.query("from"), exchange.query("target")
        keys = sorted(
            row_key.key
            for row_key in self._rows
            if row_key.table == table and row_key.key >= start and (not end or row_key.key < end)
        )
        rows = [self._row(RowKey(table, key)) for key in keys[:limit]]
        return {"rows": rows, "truncated": len(keys) > limit, "row_version": self.version}

    async def _wait_for_changes(self, exchange: HttpExchange) -> None:
        table, after = exchange.query("table"), int(exchange.query("after_revision"))
        era = self.era
        with trio.move_on_after(int(exchange.query("wait_ms", "0")) / 1000):
            while self._has_version(after) and not self._changed_rows(table, after):
                await self._changed.wait()
        if era != self.era and self.faults.hang_old_polls:
            await trio.sleep(SILENT_SECONDS)
            return
        if not self._has_version(after):
            await self._reply(exchange, 410, {})
            return
        rows = self._changed_rows(table, after)
        await self._reply(exchange, 200, {"rows": rows, "row_version": self.version})

    def _has_version(self, version: int) -> bool:
        return self._last_discarded_version <= version <= self.version

    def _changed_rows(self, table: str, after: int) -> list[dict[str, Any]]:
        row_keys = dict.fromkeys(
            row_key
            for version, row_key in self._changes
            if version > after and row_key.table == table
        )
        return [self._row(row_key) for row_key in row_keys]

    def _row(self, row_key: RowKey) -> dict[str, Any]:
        row = {"table": row_key.table, "part": "", "key": row_key.key}
        if row_key not in self._rows:
            return {**row, "deleted": True, "row_version": self.version}
        value, version = self._rows[row_key]
        return {**row, "value": b64encode(value).decode(), "row_version": version}

    async def _transact(self, exchange: HttpExchange) -> None:
        body = msgspec.json.decode(exchange.body)
        for item in body["precondition"]:
            _, version = self._rows.get(_row_key(item), (b"", 0))
            if version != item["row_version"]:
                await self._reply(exchange, 412, {"rows": [], "row_version": self.version})
                return
        writes = [(_row_key(item), b64decode(item["value"])) for item in body["writes"]]
        self._write([*writes, *((_row_key(item), None) for item in body["remove"])])
        if self.faults.lose_responses > 0:
            self.faults.lose_responses -= 1
            await trio.sleep(SILENT_SECONDS)
            return
        await self._reply(exchange, 200, {"row_version": self.version})

    def _write(self, writes: list[tuple[RowKey, bytes | None]]) -> None:
        self.version += 1
        for row_key, value in writes:
            if value is None:
                self._rows.pop(row_key, None)
            else:
                self._rows[row_key] = (value, self.version)
            self._changes.append((self.version, row_key))
        while len(self._changes) > HISTORY_LENGTH:
            self._last_discarded_version = self._changes.popleft()[0]
        self._notify_waiters()

    def _notify_waiters(self) -> None:
        self._changed.set()
        self._changed = trio.Event()


def _row_key(item: dict[str, Any]) -> RowKey:
    return RowKey(item["table"], item["key"])
