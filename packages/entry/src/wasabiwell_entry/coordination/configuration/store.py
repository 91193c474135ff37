"""Storage of configuration versions in the platform's table service and object store."""

from dataclasses import dataclass
from typing import TypeVar

import msgspec

from wasabiwell_entry.coordination.configuration.const import (
    DELETE_BATCH_ROWS,
    DELTA_PREFIX,
    HEAD_KEY,
    LATEST_SNAPSHOT_OBJECT,
    RETAINED_DELTA_ROWS,
    SNAPSHOT_KEY,
    SNAPSHOT_OBJECT_PREFIX,
)
from wasabiwell_entry.state import log_events
from wasabiwell_entry.state.configuration import ConfigurationDelta
from wasabiwell_entry.state.platform import (
    Committed,
    Condition,
    ObjectStore,
    Row,
    StoreUnavailable,
    TableService,
    TransactOutcome,
    Write,
)

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class Head:
    """Value of the row `config/head`; `attempt_id` identifies the commit."""

    version: int
    attempt_id: str


@dataclass(frozen=True, slots=True)
class SnapshotReference:
    """Value of the row `config/snapshot`."""

    version: int
    object_key: str


@dataclass(frozen=True, slots=True)
class ConfigurationSnapshot:
    """All items of one version, as stored in the object store."""

    version: int
    items: dict[str, bytes]


@dataclass(frozen=True, slots=True)
class StoredHead:
    """The rows `config/head` and `config/snapshot`, read together."""

    head: Head
    row_version: int
    snapshot: SnapshotReference
    snapshot_row_version: int


@dataclass(frozen=True, slots=True)
class Unreadable:
    """A row or object exists and cannot be decoded."""

    key: str


class ConfigurationStore:
    """Reads and writes configuration versions; keeps no state."""

    __slots__ = ("_objects", "_table")

    def __init__(self, table: TableService, objects: ObjectStore) -> None:
        self._table = table
        self._objects = objects

    async def read_head(self) -> StoredHead | StoreUnavailable | Unreadable:
        """Return the newest version and snapshot; version 0 if there is none yet."""
        rows = await self._table.read([HEAD_KEY, SNAPSHOT_KEY])
        if isinstance(rows, StoreUnavailable):
            return rows
        head: Head | Unreadable = Head(0, "")
        if (row := rows.get(HEAD_KEY)) is not None:
            head = _decode(HEAD_KEY, row.value, Head)
        snapshot: SnapshotReference | Unreadable = SnapshotReference(0, "")
        if (snapshot_row := rows.get(SNAPSHOT_KEY)) is not None:
            snapshot = _decode(SNAPSHOT_KEY, snapshot_row.value, SnapshotReference)
        if isinstance(head, Unreadable):
            return head
        if isinstance(snapshot, Unreadable):
            snapshot = SnapshotReference(0, "")
        return StoredHead(head, _version(row), snapshot, _version(snapshot_row))

    async def commit(self, delta: ConfigurationDelta, head_row_version: int) -> TransactOutcome:
        """Commit a delta as the next version, provided the head still has this row version.

        Repeating the call with the same arguments has no further effect.
        """
        head = Head(delta.version, delta.attempt_id)
        return await self._table.transact(
            [Condition(HEAD_KEY, head_row_version), Condition(delta_key(delta.version), 0)],
            [
                Write(HEAD_KEY, msgspec.json.encode(head)),
                Write(delta_key(delta.version), msgspec.msgpack.encode(delta)),
            ],
        )

    async def committed_attempt(self, version: int) -> str | StoreUnavailable | None:
        """Return the attempt id in a version's delta row, or None if there is no readable row."""
        key = delta_key(version)
        rows = await self._table.read([key])
        if isinstance(rows, StoreUnavailable):
            return rows
        delta = _decode(key, rows[key].value, ConfigurationDelta) if key in rows else None
        return delta.attempt_id if isinstance(delta, ConfigurationDelta) else None

    async def deltas_after(
        self, version: int
    ) -> list[ConfigurationDelta | Unreadable] | StoreUnavailable:
        """Return the next batch of deltas after a version, in order."""
        rows = await self._table.scan(DELTA_PREFIX, after=delta_key(version))
        if isinstance(rows, StoreUnavailable):
            return rows
        return [_decode(row.key, row.value, ConfigurationDelta) for row in rows]

    async def load_snapshot(
        self, object_key: str = LATEST_SNAPSHOT_OBJECT
    ) -> ConfigurationSnapshot | None:
        """Return a snapshot, or None if it is unavailable or unreadable."""
        value = await self._objects.get(object_key)
        if not isinstance(value, bytes):
            return None
        snapshot = _decode(object_key, value, ConfigurationSnapshot)
        return snapshot if isinstance(snapshot, ConfigurationSnapshot) else None

    async def save_snapshot(self, snapshot: ConfigurationSnapshot, stored: StoredHead) -> bool:
        """Store a snapshot and delete old delta rows; return whether the snapshot is stored."""
        key = f"{SNAPSHOT_OBJECT_PREFIX}{snapshot.version:012d}"
        value = msgspec.msgpack.encode(snapshot)
        if not isinstance(await self._objects.put(key, value), Committed):
            return False
        name = msgspec.json.encode(SnapshotReference(snapshot.version, key))
        outcome = await self._table.transact(
            [Condition(SNAPSHOT_KEY, stored.snapshot_row_version)], [Write(SNAPSHOT_KEY, name)]
        )
        if not isinstance(outcome, Committed):
            return False
        await self._objects.put(LATEST_SNAPSHOT_OBJECT, value)
        await self._delete_deltas(snapshot.version - RETAINED_DELTA_ROWS)
        return True

    async def _delete_deltas(self, through: int) -> None:
        while through > 0:
            rows = await self._table.scan(DELTA_PREFIX, limit=DELETE_BATCH_ROWS)
            if isinstance(rows, StoreUnavailable):
                return
            old = [row for row in rows if row.key <= delta_key(through)]
            if not old:
                return
            writes = [Write(row.key, None) for row in old]
            if not isinstance(await self._table.transact([], writes), Committed):
                return


def delta_key(version: int) -> str:
    """Return the table key of a delta; keys sort by version."""
    return f"{DELTA_PREFIX}{version:012d}"


def _version(row: Row | None) -> int:
    return row.version if row is not None else 0


def _decode(key: str, value: bytes, expected: type[T]) -> T | Unreadable:
    decode = msgspec.json.decode if key in (HEAD_KEY, SNAPSHOT_KEY) else msgspec.msgpack.decode
    try:
        return decode(value, type=expected)
    except (msgspec.DecodeError, RecursionError) as error:
        log_events.emit(log_events.CONFIGURATION_ROW_UNREADABLE, key=key, error=error)
        return Unreadable(key)
