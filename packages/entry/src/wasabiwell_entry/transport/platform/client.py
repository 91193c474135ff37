"""HTTP clients of the platform's services."""

import ssl
from collections.abc import Sequence
from typing import Any, TypeVar
from urllib.parse import quote, urlencode

import httpcore
import msgspec

from wasabiwell_entry.protocol.platform import ReadBody, RowsReply, TransactBody, TransactReply
from wasabiwell_entry.state import log_events
from wasabiwell_entry.state.platform import (
    Absent,
    Committed,
    Condition,
    ConditionFailed,
    InstanceRecord,
    ResponseLost,
    Row,
    StoreUnavailable,
    TransactOutcome,
    Write,
)

REQUEST_TIMEOUT_SECONDS = 2.0
CONNECT_TIMEOUT_SECONDS = 0.5
JSON_HEADERS = [(b"content-type", b"application/json")]
NOT_SENT_ERRORS = (httpcore.ConnectError, httpcore.ConnectTimeout, httpcore.PoolTimeout)

T = TypeVar("T")


class PlatformClient:
    """Connection pool to a platform service; logs when the service fails and when it recovers."""

    __slots__ = ("_available", "_name", "_pool", "_url")

    def __init__(self, name: str, url: str, tls: ssl.SSLContext | None = None) -> None:
        self._name = name
        self._url = url.rstrip("/")
        self._pool = httpcore.AsyncConnectionPool(ssl_context=tls, max_connections=64)
        self._available = True

    async def send(
        self, method: str, path: str, content: bytes | None = None
    ) -> httpcore.Response | StoreUnavailable | ResponseLost:
        """Send a request; a 5xx status gives `StoreUnavailable`, as the service did nothing."""
        timeout = {
            "connect": CONNECT_TIMEOUT_SECONDS,
            "read": REQUEST_TIMEOUT_SECONDS,
            "write": REQUEST_TIMEOUT_SECONDS,
            "pool": REQUEST_TIMEOUT_SECONDS,
        }
        try:
            response = await self._pool.request(
                method,
                self._url + path,
                headers=JSON_HEADERS,
                content=content,
                extensions={"timeout": timeout},
            )
        except NOT_SENT_ERRORS as error:
            return self._record_failure(StoreUnavailable(repr(error)))
        except (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError) as error:
            return self._record_failure(ResponseLost(repr(error)))
        if response.status >= 500:
            return self._record_failure(StoreUnavailable(f"status {response.status}"))
        if not self._available:
            self._available = True
            log_events.emit(log_events.STORE_RECOVERED, service=self._name)
        return response

    def _record_failure(self, failure: T) -> T:
        if self._available:
            self._available = False
            log_events.emit(log_events.STORE_UNAVAILABLE, service=self._name, reason=failure)
        return failure


class HttpTableService:
    """Client of the table service."""

    __slots__ = ("_client",)

    def __init__(self, url: str, tls: ssl.SSLContext | None = None) -> None:
        self._client = PlatformClient("table service", url, tls)

    async def transact(
        self, conditions: Sequence[Condition], writes: Sequence[Write]
    ) -> TransactOutcome:
        """Apply all writes atomically if all conditions hold, else none."""
        body = msgspec.json.encode(TransactBody(list(conditions), list(writes)))
        match await self._client.send("POST", "/transact", body):
            case httpcore.Response() as response:
                reply = _decode(response, TransactReply)
                if reply is None:
                    return ResponseLost("the table service sent a malformed reply")
                return Committed() if reply.committed else ConditionFailed(tuple(reply.failed))
            case failure:
                return failure

    async def read(self, keys: Sequence[str]) -> dict[str, Row] | StoreUnavailable:
        """Return the existing rows of the given keys, by key."""
        body = msgspec.json.encode(ReadBody(list(keys)))
        rows = _rows_from(await self._client.send("POST", "/read", body))
        return rows if isinstance(rows, StoreUnavailable) else {row.key: row for row in rows}

    async def scan(
        self, prefix: str, after: str = "", limit: int = 1000
    ) -> list[Row] | StoreUnavailable:
        """Return up to `limit` rows with the prefix, in key order, after the key `after`."""
        query = urlencode({"prefix": prefix, "after": after, "limit": limit})
        return _rows_from(await self._client.send("GET", f"/scan?{query}"))


class HttpObjectStore:
    """Client of the object store."""

    __slots__ = ("_client",)

    def __init__(self, url: str, tls: ssl.SSLContext | None = None) -> None:
        self._client = PlatformClient("object store", url, tls)

    async def put(self, key: str, value: bytes) -> Committed | StoreUnavailable | ResponseLost:
        """Store an object."""
        match await self._client.send("PUT", f"/objects/{quote(key)}", value):
            case httpcore.Response():
                return Committed()
            case failure:
                return failure

    async def get(self, key: str) -> bytes | Absent | StoreUnavailable:
        """Return the value of an object."""
        match await self._client.send("GET", f"/objects/{quote(key)}"):
            case httpcore.Response(status=404):
                return Absent()
            case httpcore.Response() as response:
                return response.content
            case ResponseLost(reason=reason):
                return StoreUnavailable(reason)
            case StoreUnavailable() as unavailable:
                return unavailable


class HttpInstanceList:
    """Client of the instance list."""

    __slots__ = ("_client",)

    def __init__(self, url: str, tls: ssl.SSLContext | None = None) -> None:
        self._client = PlatformClient("instance list", url, tls)

    async def instances(self) -> list[InstanceRecord] | StoreUnavailable:
        """Return the live and leaving instances."""
        match await self._client.send("GET", "/instances"):
            case httpcore.Response() as response:
                records: list[InstanceRecord] | None = _decode(response, list[InstanceRecord])
                if records is None:
                    return StoreUnavailable("the instance list sent a malformed reply")
                return records
            case ResponseLost(reason=reason):
                return StoreUnavailable(reason)
            case StoreUnavailable() as unavailable:
                return unavailable


def _rows_from(
    outcome: httpcore.Response | StoreUnavailable | ResponseLost,
) -> list[Row] | StoreUnavailable:
    match outcome:
        case httpcore.Response() as response:
            reply: RowsReply | None = _decode(response, RowsReply)
            if reply is None:
                return StoreUnavailable("the table service sent a malformed reply")
            return reply.rows
        case ResponseLost(reason=reason):
            return StoreUnavailable(reason)
        case StoreUnavailable() as unavailable:
            return unavailable


def _decode(response: httpcore.Response, expected: Any) -> Any:
    try:
        return msgspec.json.decode(response.content, type=expected)
    except (msgspec.DecodeError, RecursionError):
        return None
