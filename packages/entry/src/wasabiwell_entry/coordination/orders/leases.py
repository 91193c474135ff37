"""Leases for sending orders, stored in the table service."""

import secrets
from datetime import timedelta

import msgspec
from wasabiwell_config import Fencing

from wasabiwell_entry.coordination.orders.const import (
    CLOCK_DRIFT_MARGIN,
    LEASE_LIFETIME,
    ORDER_TIMEOUT,
    STORE_RETRY_AFTER,
)
from wasabiwell_entry.coordination.orders.errors import (
    Lease,
    LeaseHeld,
    LeaseOutcome,
    LeaseUnavailable,
)
from wasabiwell_entry.state.clock import Clock
from wasabiwell_entry.state.orders import LeaseRecord, lease_key
from wasabiwell_entry.state.platform import (
    Committed,
    Condition,
    ConditionFailed,
    ResponseLost,
    Row,
    StoreUnavailable,
    TableService,
    Write,
)


class OrderLeases:
    """Acquires and releases leases for one entry instance.

    Wall clocks are not compared: another holder's lease counts as expired when this instance has
    seen its row unchanged for the whole lifetime.
    """

    __slots__ = ("_clock", "_node_id", "_observed_versions", "_table")

    def __init__(self, table: TableService, clock: Clock, node_id: str) -> None:
        self._table = table
        self._clock = clock
        self._node_id = node_id
        self._observed_versions: dict[str, tuple[int, timedelta]] = {}

    async def acquire(self, engine_id: str, fencing: Fencing) -> LeaseOutcome:
        """Acquire the lease of an engine, or return when to retry."""
        key = lease_key(engine_id)
        rows = await self._table.read([key])
        if isinstance(rows, StoreUnavailable):
            return LeaseUnavailable(rows.reason)
        row = rows.get(key)
        current = _decode(row) if row is not None else LeaseRecord("", "", 0, released=True)
        version = row.version if row is not None else 0
        if not current.released:
            remaining = self._remaining_time(key, version, fencing)
            if remaining > timedelta():
                return LeaseHeld(current.holder, remaining)
        return await self._acquire(engine_id, key, version, current.fencing + 1)

    async def release(self, lease: Lease) -> None:
        """Let the next holder acquire the lease at once; an unreleased lease expires by itself."""
        key = lease_key(lease.engine_id)
        rows = await self._table.read([key])
        if isinstance(rows, StoreUnavailable) or key not in rows:
            return
        if _decode(rows[key]).attempt_id != lease.attempt_id:
            return
        record = LeaseRecord(self._node_id, lease.attempt_id, lease.fencing, released=True)
        await self._table.transact(
            [Condition(key, rows[key].version)], [Write(key, msgspec.msgpack.encode(record))]
        )

    def _remaining_time(self, key: str, version: int, fencing: Fencing) -> timedelta:
        """Return how long another holder's lease, or an order sent under it, may stay valid."""
        now = self._clock.monotonic()
        observed_version, observed_at = self._observed_versions.get(key, (0, now))
        if observed_version != version:
            observed_at = now
            self._observed_versions[key] = (version, now)
        wait = LEASE_LIFETIME + CLOCK_DRIFT_MARGIN
        if fencing is Fencing.IGNORED:
            wait += ORDER_TIMEOUT
        return observed_at + wait - now

    async def _acquire(self, engine_id: str, key: str, version: int, fencing: int) -> LeaseOutcome:
        record = LeaseRecord(self._node_id, secrets.token_hex(16), fencing)
        lease = Lease(
            engine_id, record.attempt_id, fencing, self._clock.monotonic() + LEASE_LIFETIME
        )
        outcome = await self._table.transact(
            [Condition(key, version)], [Write(key, msgspec.msgpack.encode(record))]
        )
        match outcome:
            case Committed():
                return lease
            case StoreUnavailable(reason=reason):
                return LeaseUnavailable(reason)
            case ConditionFailed() | ResponseLost():
                return await self._read_back(key, lease)

    async def _read_back(self, key: str, lease: Lease) -> LeaseOutcome:
        rows = await self._table.read([key])
        if isinstance(rows, StoreUnavailable):
            return LeaseUnavailable(rows.reason)
        row = rows.get(key)
        if row is None:
            return LeaseUnavailable("the lease was not stored")
        record = _decode(row)
        if record.attempt_id == lease.attempt_id:
            return lease
        return LeaseHeld(record.holder, STORE_RETRY_AFTER)


def _decode(row: Row) -> LeaseRecord:
    return msgspec.msgpack.decode(row.value, type=LeaseRecord)
