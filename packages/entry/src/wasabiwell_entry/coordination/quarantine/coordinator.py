"""Limits the number of targets that one request can crash."""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from datetime import timedelta

import msgspec
import trio

from wasabiwell_entry.coordination.quarantine.const import (
    MAX_WRITE_ATTEMPTS,
    MIN_SYNC_INTERVAL,
    QUARANTINE_LIFETIME,
    STORE_TIMEOUT,
    SUSPECT_PREFIX,
    SYNC_INTERVAL_PER_MEMBER,
    SYNC_MAX_ROWS,
)
from wasabiwell_entry.coordination.quarantine.errors import (
    NotSuspected,
    Released,
    ReleaseOutcome,
    ReleaseUnavailable,
)
from wasabiwell_entry.coordination.quarantine.ports import SuspectPort
from wasabiwell_entry.coordination.quarantine.suspect_leases import SuspectLeases
from wasabiwell_entry.state import log_events
from wasabiwell_entry.state.clock import Clock
from wasabiwell_entry.state.platform import (
    Committed,
    Condition,
    StoreUnavailable,
    TableService,
    Write,
)
from wasabiwell_entry.state.suspects import Suspect, SuspectTable


class QuarantineCoordinator:
    """Shares suspects between entry instances through rows of the table service.

    While the table service is unavailable, this entry instance works with its local state and
    saves its own suspects later.
    """

    __slots__ = (
        "_clock",
        "_member_count",
        "_peers",
        "_suspect_leases",
        "_suspects",
        "_table",
        "_target_locks",
        "_unsaved",
    )

    def __init__(
        self,
        table: TableService,
        suspects: SuspectTable,
        peers: SuspectPort,
        member_count: Callable[[], int],
        clock: Clock,
    ) -> None:
        self._table = table
        self._suspects = suspects
        self._peers = peers
        self._member_count = member_count
        self._clock = clock
        self._suspect_leases = SuspectLeases(table, clock)
        self._target_locks: dict[str, trio.Lock] = {}
        self._unsaved: set[str] = set()

    async def run(self) -> None:
        """Synchronize with the table service until cancelled."""
        while True:
            await self.sync()
            await self._clock.sleep(self._sync_interval())

    def list(self) -> list[Suspect]:
        """Return the quarantined requests, sorted by fingerprint."""
        quarantined = [suspect for suspect in self._suspects if suspect.quarantined]
        return sorted(quarantined, key=lambda suspect: suspect.fingerprint)

    def quarantined(self, fingerprint: str) -> bool:
        """Return whether a request is refused."""
        suspect = self._suspects.get(fingerprint)
        return suspect is not None and suspect.quarantined

    def suspected(self, fingerprint: str) -> bool:
        """Return whether a target crashed while running the request."""
        return self._suspects.get(fingerprint) is not None

    def suspects(self) -> tuple[Suspect, ...]:
        """Return all suspects, sorted by fingerprint."""
        return tuple(sorted(self._suspects, key=lambda suspect: suspect.fingerprint))

    def remove(self, fingerprint: str) -> None:
        """Remove a suspect that another entry instance cleared or released."""
        self._suspects.remove(fingerprint)
        self._unsaved.discard(fingerprint)

    def merge_remote(self, suspect: Suspect) -> None:
        """Merge a suspect that another entry instance published or saved."""
        if suspect.expires > self._clock.now():
            self._suspects.merge(suspect)

    @asynccontextmanager
    async def exclusive_retry(self, fingerprint: str, target_id: str) -> AsyncIterator[None]:
        """Keep other suspects of all entry instances off the target while the context is open.

        If the target crashes, the crash then counts against the one suspect that ran there. A
        request that is not suspected does not wait.
        """
        if not self.suspected(fingerprint):
            yield
            return
        async with (
            self._target_locks.setdefault(target_id, trio.Lock()),
            self._suspect_leases.hold(fingerprint, target_id),
        ):
            yield

    async def record_crash(self, fingerprint: str, target_id: str) -> None:
        """Record that a target crashed while running a request.

        Returns when the suspect is saved, which also merges what other entry instances saved, or
        after `STORE_TIMEOUT`.
        """
        expires = self._clock.now() + QUARANTINE_LIFETIME
        suspect = self._suspects.merge(Suspect(fingerprint, (target_id,), expires))
        log_events.emit(log_events.REQUEST_SUSPECTED, fingerprint=fingerprint, target=target_id)
        self._unsaved.add(fingerprint)
        self._peers.broadcast(suspect)
        with trio.move_on_after(STORE_TIMEOUT.total_seconds()):
            await self._save(fingerprint)
        if self.quarantined(fingerprint):
            log_events.emit(log_events.REQUEST_QUARANTINED, fingerprint=fingerprint)
            # Wait until every entry instance refuses the request before the failure is returned to
            # the caller, so that a retry through another instance does not crash a third target.
            await self._clock.sleep(2 * self._sync_interval())

    async def record_success(self, fingerprint: str) -> None:
        """Clear a suspect that succeeded; a quarantined request is not cleared."""
        if not self.suspected(fingerprint) or self.quarantined(fingerprint):
            return
        self.remove(fingerprint)
        self._peers.withdraw(fingerprint)
        with trio.move_on_after(STORE_TIMEOUT.total_seconds()):
            await self._delete(fingerprint, keep_quarantined=True)

    async def release(self, fingerprint: str) -> ReleaseOutcome:
        """Release a quarantined request on every entry instance."""
        known = self.suspected(fingerprint)
        deleted = await self._delete(fingerprint, keep_quarantined=False)
        if isinstance(deleted, StoreUnavailable):
            return ReleaseUnavailable(deleted.reason)
        self.remove(fingerprint)
        self._peers.withdraw(fingerprint)
        return Released() if known or deleted else NotSuspected()

    async def sync(self) -> None:
        """Save unsaved suspects, then make the local table match the table service's rows."""
        self._suspects.remove_expired(self._clock.now())
        for fingerprint in list(self._unsaved):
            if not await self._save(fingerprint):
                return
        rows = await self._table.scan(SUSPECT_PREFIX, limit=SYNC_MAX_ROWS)
        if isinstance(rows, StoreUnavailable):
            return
        stored = [msgspec.msgpack.decode(row.value, type=Suspect) for row in rows]
        if len(rows) < SYNC_MAX_ROWS:
            kept = {suspect.fingerprint for suspect in stored} | self._unsaved
            for suspect in self._suspects:
                if suspect.fingerprint not in kept:
                    self._suspects.remove(suspect.fingerprint)
        for suspect in stored:
            self.merge_remote(suspect)

    def _sync_interval(self) -> timedelta:
        return max(MIN_SYNC_INTERVAL, SYNC_INTERVAL_PER_MEMBER * self._member_count())

    async def _save(self, fingerprint: str) -> bool:
        """Merge a suspect into its row and return whether the row is up to date."""
        key = SUSPECT_PREFIX + fingerprint
        for _ in range(MAX_WRITE_ATTEMPTS):
            rows = await self._table.read([key])
            if isinstance(rows, StoreUnavailable):
                return False
            row = rows.get(key)
            if row is not None:
                self.merge_remote(msgspec.msgpack.decode(row.value, type=Suspect))
            suspect = self._suspects.get(fingerprint)
            if suspect is None:
                self._unsaved.discard(fingerprint)
                return True
            outcome = await self._table.transact(
                [Condition(key, row.version if row is not None else 0)],
                [Write(key, msgspec.msgpack.encode(suspect))],
            )
            if isinstance(outcome, Committed):
                self._unsaved.discard(fingerprint)
                return True
        return False

    async def _delete(self, fingerprint: str, *, keep_quarantined: bool) -> bool | StoreUnavailable:
        """Delete a suspect's row and return whether it was deleted.

        With `keep_quarantined`, the row of a quarantined request is kept.
        """
        key = SUSPECT_PREFIX + fingerprint
        for _ in range(MAX_WRITE_ATTEMPTS):
            rows = await self._table.read([key])
            if isinstance(rows, StoreUnavailable):
                return rows
            row = rows.get(key)
            if row is None:
                return False
            if keep_quarantined and msgspec.msgpack.decode(row.value, type=Suspect).quarantined:
                return False
            outcome = await self._table.transact([Condition(key, row.version)], [Write(key, None)])
            if isinstance(outcome, Committed):
                return True
        return StoreUnavailable("the row changed during every attempt to delete it")
