"""Leases that let one suspect at a time run on a target, over all entry instances."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from datetime import datetime

import msgspec
import trio

from wasabiwell_entry.coordination.quarantine.const import (
    STORE_TIMEOUT,
    SUSPECT_LEASE_LIFETIME,
    SUSPECT_LEASE_POLL_INTERVAL,
    SUSPECT_LEASE_PREFIX,
)
from wasabiwell_entry.coordination.quarantine.errors import LeaseConflict
from wasabiwell_entry.state import log_events
from wasabiwell_entry.state.clock import Clock
from wasabiwell_entry.state.platform import (
    Committed,
    Condition,
    ResponseLost,
    Row,
    StoreUnavailable,
    TableService,
    Write,
)


class _SuspectLease(msgspec.Struct, frozen=True):
    """The suspect that holds a target's suspect lease; `expires` is a wall-clock time."""

    fingerprint: str
    expires: datetime


class SuspectLeases:
    """Grants exclusive suspect leases, stored as one row per target in the table service.

    If two suspects ran on a target when it crashes, the crash would count against both, and a
    harmless request could be quarantined. A lease that is not released expires.
    """

    __slots__ = ("_clock", "_table")

    def __init__(self, table: TableService, clock: Clock) -> None:
        self._table = table
        self._clock = clock

    @asynccontextmanager
    async def hold(self, fingerprint: str, target_id: str) -> AsyncIterator[None]:
        """Acquire the suspect lease of a target, and release it on leaving the context.

        If the table service is unavailable, the suspect runs without a lease.
        """
        key = SUSPECT_LEASE_PREFIX + target_id
        lease = await self._acquire(key, fingerprint)
        if isinstance(lease, StoreUnavailable):
            log_events.emit(
                log_events.SUSPECT_TURN_SKIPPED,
                fingerprint=fingerprint,
                target=target_id,
                reason=lease.reason,
            )
            yield
            return
        try:
            yield
        finally:
            with trio.move_on_after(STORE_TIMEOUT.total_seconds(), shield=True) as scope:
                await self._release(key, lease)
            if scope.cancelled_caught:
                _log_not_released(key, lease, "the table service did not respond in time")

    async def _acquire(self, key: str, fingerprint: str) -> _SuspectLease | StoreUnavailable:
        while True:
            rows = await self._table.read([key])
            if isinstance(rows, StoreUnavailable):
                return rows
            row = rows.get(key)
            if row is None or _decode(row).expires <= self._clock.now():
                lease = await self._try_acquire(key, row, fingerprint)
                if not isinstance(lease, LeaseConflict):
                    return lease
            else:
                await self._clock.sleep(SUSPECT_LEASE_POLL_INTERVAL)

    async def _try_acquire(
        self, key: str, row: Row | None, fingerprint: str
    ) -> _SuspectLease | LeaseConflict | StoreUnavailable:
        lease = _SuspectLease(fingerprint, self._clock.now() + SUSPECT_LEASE_LIFETIME)
        outcome = await self._table.transact(
            [Condition(key, row.version if row is not None else 0)],
            [Write(key, msgspec.msgpack.encode(lease))],
        )
        match outcome:
            case Committed():
                return lease
            case StoreUnavailable():
                return outcome
            case ResponseLost():
                rows = await self._table.read([key])
                if isinstance(rows, StoreUnavailable):
                    return rows
                written = rows.get(key)
                if written is not None and _decode(written) == lease:
                    return lease
        return LeaseConflict()

    async def _release(self, key: str, lease: _SuspectLease) -> None:
        """Delete the row, unless the lease has expired and another suspect has acquired it."""
        rows = await self._table.read([key])
        if isinstance(rows, StoreUnavailable):
            _log_not_released(key, lease, rows.reason)
            return
        row = rows.get(key)
        if row is None or _decode(row) != lease:
            return
        outcome = await self._table.transact([Condition(key, row.version)], [Write(key, None)])
        if isinstance(outcome, StoreUnavailable | ResponseLost):
            _log_not_released(key, lease, outcome.reason)


def _log_not_released(key: str, lease: _SuspectLease, reason: str) -> None:
    log_events.emit(
        log_events.SUSPECT_TURN_NOT_ENDED,
        fingerprint=lease.fingerprint,
        target=key.removeprefix(SUSPECT_LEASE_PREFIX),
        reason=reason,
    )


def _decode(row: Row) -> _SuspectLease:
    return msgspec.msgpack.decode(row.value, type=_SuspectLease)
