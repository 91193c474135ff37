"""The platform's store: rows in tables, transactions, held queries for changes, and faults."""

import enum
from base64 import b64decode, b64encode
from collections import deque
from dataclasses import dataclass, field
from typing import Any

import msgspec
import trio

from wasabiwell_standins.asgi import HttpExchange, serve_http

HISTORY_LENGTH = 10_000
PATIENCE_SECONDS = 60.0
"""How long a silent store keeps a connection open."""


class Outage(enum.Enum):
    """What the store does instead of answering."""

    BUSY = 503
    MANY = 429
    SILENT = 0


@dataclass(slots=True)
class StoreFaults:
    """Faults in force; `delay_s` is added to each call. Writes whose answer is lost are made."""

    outage: Outage | None = None
    delay_s: float = 0.0
    lose_answers: int = 0


@dataclass(frozen=True, slots=True)
class Place:
    """Where a row is."""

    table: str
    key: str


@dataclass(slots=True)
class StoreStandIn:
    """The store in memory; `version` is the count of transactions."""

    faults: StoreFaults = field(default_factory=StoreFaults)
    version: int = 0
    calls: int = 0
    _rows: dict[Place, tuple[bytes, int]] = field(default_factory=dict)
    _changes: deque[tuple[int, Place]] = field(default_factory=deque)
    _forgotten: int = 0
    _changed: trio.Event = field(default_factory=trio.Event)

    async def serve(self, host: str, port: int) -> None:
        """Serve until cancelled."""
        await serve_http(self.answer, host, port)

    def put(self, table: str, key: str, value: bytes | None) -> None:
        """Write or remove a row, as the platform itself does."""
        self._write([(Place(table, key), value)])

    def put_json(self, table: str, key: str, value: Any) -> None:
        """Write a row with a JSON value."""
        self.put(table, key, msgspec.json.encode(value))

    def forget_history(self) -> None:
        """Discard the changes that are kept."""
        self._forgotten = self.version
        self._changes.clear()
        self._wake()

    async def answer(self, exchange: HttpExchange) -> None:
        """Answer a call."""
        self.calls += 1
        await trio.sleep(self.faults.delay_s)
        match self.faults.outage:
            case Outage.SILENT:
                await trio.sleep(PATIENCE_SECONDS)
                return
            case Outage() as outage:
                await exchange.reply(outage.value, {})
                return
        match exchange.path:
            case "/rows-get":
                await exchange.reply(200, self._read(exchange))
            case "/rows-feed":
                await self._follow(exchange)
            case "/rows-tx":
                await self._transact(exchange)
            case _:
                await exchange.reply(404, {})

    def _read(self, exchange: HttpExchange) -> dict[str, Any]:
        table, limit = exchange.query("table"), int(exchange.query("limit", "500"))
        start, end = exchange.query("from"), exchange.query("target")
        keys = sorted(
            place.key
            for place in self._rows
            if place.table == table and place.key >= start and (not end or place.key < end)
        )
        rows = [self._row(Place(table, key)) for key in keys[:limit]]
        return {"rows": rows, "truncated": len(keys) > limit, "row_version": self.version}

    async def _follow(self, exchange: HttpExchange) -> None:
        table, after = exchange.query("table"), int(exchange.query("after_revision"))
        with trio.move_on_after(int(exchange.query("wait_ms", "0")) / 1000):
            while after >= self._forgotten and not self._changed_rows(table, after):
                await self._changed.wait()
        if after < self._forgotten:
            await exchange.reply(410, {})
            return
        rows = self._changed_rows(table, after)
        await exchange.reply(200, {"rows": rows, "row_version": self.version})

    def _changed_rows(self, table: str, after: int) -> list[dict[str, Any]]:
        places = dict.fromkeys(
            place for version, place in self._changes if version > after and place.table == table
        )
        return [self._row(place) for place in places]

    def _row(self, place: Place) -> dict[str, Any]:
        row = {"table": place.table, "part": "", "key": place.key}
        if place not in self._rows:
            return {**row, "deleted": True, "row_version": self.version}
        value, version = self._rows[place]
        return {**row, "value": b64encode(value).decode(), "row_version": version}

    async def _transact(self, exchange: HttpExchange) -> None:
        body = msgspec.json.decode(exchange.body)
        for item in body["precondition"]:
            _, version = self._rows.get(_place(item), (b"", 0))
            if version != item["row_version"]:
                await exchange.reply(412, {"rows": [], "row_version": self.version})
                return
        writes = [(_place(item), b64decode(item["value"])) for item in body["writes"]]
        self._write([*writes, *((_place(item), None) for item in body["remove"])])
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            await trio.sleep(PATIENCE_SECONDS)
            return
        await exchange.reply(200, {"row_version": self.version})

    def _write(self, writes: list[tuple[Place, bytes | None]]) -> None:
        self.version += 1
        for place, value in writes:
            if value is None:
                self._rows.pop(place, None)
            else:
                self._rows[place] = (value, self.version)
            self._changes.append((self.version, place))
        while len(self._changes) > HISTORY_LENGTH:
            self._forgotten = self._changes.popleft()[0]
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = trio.Event()


def _place(item: dict[str, Any]) -> Place:
    return Place(item["table"], item["key"])
