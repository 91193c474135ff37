"""Stand-in for the platform: table service, object store and instance list with a lag.

`POST /control` sets faults. `outage` returns 503 for tables and objects, `object_outage` for
objects only and `instance_outage` for the instance list. `delay_s` delays requests, and
`instance_lag_s` the effect of changes on the instance list. `lose_replies` is the number of further
transactions that take effect but whose reply is withheld for 60 s.
"""

import math
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import unquote

import click
import msgspec
import trio

from wasabiwell_standins.asgi import HttpExchange, serve_http


@dataclass(slots=True)
class Faults:
    """Active faults; the field names are the keys of `POST /control`."""

    outage: bool = False
    object_outage: bool = False
    instance_outage: bool = False
    delay_s: float = 0.0
    lose_replies: int = 0
    instance_lag_s: float = 0.5


@dataclass(slots=True)
class Statistics:
    """Operation counts since the start."""

    reads: int = 0
    transactions: int = 0
    failed_transactions: int = 0
    object_puts: int = 0
    object_gets: int = 0
    instance_reads: int = 0


@dataclass(slots=True)
class StoredRow:
    """A table row; `value` is base64, as sent on the wire."""

    value: str
    version: int


@dataclass(slots=True)
class ListedInstance:
    """An instance record and the times at which its state changes show in the list."""

    record: dict[str, Any]
    listed_at: float
    leaving_at: float = math.inf
    unlisted_at: float = math.inf


@dataclass(slots=True)
class Platform:
    """State and request handlers of the platform stand-in."""

    faults: Faults = field(default_factory=Faults)
    statistics: Statistics = field(default_factory=Statistics)
    rows: dict[str, StoredRow] = field(default_factory=dict)
    versions: dict[str, int] = field(default_factory=dict)
    objects: dict[str, bytes] = field(default_factory=dict)
    instances: dict[str, ListedInstance] = field(default_factory=dict)

    async def handle(self, exchange: HttpExchange) -> None:
        """Handle one HTTP request."""
        if exchange.path == "/control":
            await self._handle_control(exchange)
            return
        if exchange.path.startswith("/instances/"):
            await self._update_instance(exchange)
            return
        if self.faults.delay_s:
            await trio.sleep(self.faults.delay_s)
        if self._unavailable(exchange.path):
            await exchange.reply(503, {"error": "outage"})
            return
        handler = self._find_handler(exchange)
        if handler is None:
            await exchange.reply(404, {"error": "no such path"})
            return
        await handler(exchange)

    def _unavailable(self, path: str) -> bool:
        if path.startswith("/objects/"):
            return self.faults.object_outage or self.faults.outage
        if path.startswith("/instances"):
            return self.faults.instance_outage
        return self.faults.outage

    def _find_handler(
        self, exchange: HttpExchange
    ) -> Callable[[HttpExchange], Awaitable[None]] | None:
        match exchange.method, exchange.path:
            case "POST", "/transact":
                return self._transact
            case "POST", "/read":
                return self._read
            case "GET", "/scan":
                return self._scan
            case "GET", "/instances":
                return self._list_instances
            case "PUT" | "GET", path if path.startswith("/objects/"):
                return self._handle_object
        return None

    async def _handle_control(self, exchange: HttpExchange) -> None:
        if exchange.method == "POST":
            for name, value in msgspec.json.decode(exchange.body).items():
                setattr(self.faults, name, value)
        await exchange.reply(200, {"control": self.faults, "statistics": self.statistics})

    async def _transact(self, exchange: HttpExchange) -> None:
        body = msgspec.json.decode(exchange.body)
        failed = [
            condition["key"]
            for condition in body["conditions"]
            if self._version(condition["key"]) != condition["version"]
        ]
        self.statistics.transactions += 1
        if failed:
            self.statistics.failed_transactions += 1
        else:
            for write in body["writes"]:
                self._write(write["key"], write["value"])
        if self.faults.lose_replies > 0:
            self.faults.lose_replies -= 1
            await trio.sleep(60.0)
        await exchange.reply(200, {"committed": not failed, "failed": failed})

    def _version(self, key: str) -> int:
        row = self.rows.get(key)
        return row.version if row is not None else 0

    def _write(self, key: str, value: str | None) -> None:
        if value is None:
            self.rows.pop(key, None)
            return
        version = self.versions.get(key, 0) + 1
        self.versions[key] = version
        self.rows[key] = StoredRow(value, version)

    async def _read(self, exchange: HttpExchange) -> None:
        self.statistics.reads += 1
        keys = msgspec.json.decode(exchange.body)["keys"]
        await exchange.reply(
            200, {"rows": self._encode_rows(key for key in keys if key in self.rows)}
        )

    async def _scan(self, exchange: HttpExchange) -> None:
        self.statistics.reads += 1
        prefix, after = exchange.query("prefix"), exchange.query("after")
        keys = sorted(key for key in self.rows if key.startswith(prefix) and key > after)
        limit = int(exchange.query("limit", "1000"))
        await exchange.reply(200, {"rows": self._encode_rows(keys[:limit])})

    def _encode_rows(self, keys: Any) -> list[dict[str, object]]:
        return [
            {"key": key, "value": self.rows[key].value, "version": self.rows[key].version}
            for key in keys
        ]

    async def _handle_object(self, exchange: HttpExchange) -> None:
        key = unquote(exchange.path.removeprefix("/objects/"))
        if exchange.method == "PUT":
            self.statistics.object_puts += 1
            self.objects[key] = exchange.body
            await exchange.reply(200, {})
            return
        self.statistics.object_gets += 1
        value = self.objects.get(key)
        if value is None:
            await exchange.reply(404, {"error": "absent"})
            return
        await exchange.reply_bytes(200, value, b"application/octet-stream")

    async def _update_instance(self, exchange: HttpExchange) -> None:
        instance_id = exchange.path.removeprefix("/instances/")
        visible_at = trio.current_time() + self.faults.instance_lag_s
        if exchange.method == "PUT":
            record = msgspec.json.decode(exchange.body)
            self.instances[instance_id] = ListedInstance(record, visible_at)
        elif instance_id in self.instances and exchange.method == "POST":
            self.instances[instance_id].leaving_at = visible_at
        elif instance_id in self.instances and exchange.method == "DELETE":
            self.instances[instance_id].unlisted_at = visible_at
        await exchange.reply(200, {})

    async def _list_instances(self, exchange: HttpExchange) -> None:
        self.statistics.instance_reads += 1
        now = trio.current_time()
        records = [
            {**listed.record, "leaving": listed.leaving_at <= now}
            for listed in self.instances.values()
            if listed.listed_at <= now < listed.unlisted_at
        ]
        await exchange.reply(200, records)


@click.command()
@click.option("--address", required=True, help="HOST:PORT to serve on.")
def main(address: str) -> None:
    """Run the platform stand-in."""
    host, _, port = address.rpartition(":")
    trio.run(serve_http, Platform().handle, host, int(port))


if __name__ == "__main__":
    main()
