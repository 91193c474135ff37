"""Limits the targets that one request can crash."""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from datetime import timedelta

import msgspec
import trio

from wasabiwell_entry.coordination.quarantine.const import (
    FOLLOW_INTERVAL_PER_MEMBER,
    FOLLOW_LIMIT_ROWS,
    MAX_WRITE_TRIES,
    MIN_FOLLOW_INTERVAL,
    QUARANTINE_LIFETIME,
    STORE_WAIT,
    SUSPECT_PREFIX,
)
from wasabiwell_entry.coordination.quarantine.errors import (
    NotSuspected,
    Released,
    ReleaseOutcome,
    ReleaseUnavailable,
)
from wasabiwell_entry.coordination.quarantine.ports import SuspectPort
from wasabiwell_entry.coordination.quarantine.turns import SuspectLeases
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
    """Follows the suspects of all entry instances through rows of the table service.

    While the table service is down, this entry instance goes on with what it knows and writes its
    own marks later.
    """

    __slots__ = (
        "_clock",
        "_members",
        "_running",
        "_spreading",
        "_suspects",
        "_table",
        "_turns",
        "_unsaved",
    )

    def __init__(
        self,
        table: TableService,
        suspects: SuspectTable,
        spreading: SuspectPort,
        members: Callable[[], int],
        clock: Clock,
    ) -> None:
        self._table = table
        self._suspects = suspects
        self._spreading = spreading
        self._members = members
        self._clock = clock
        self._turns = SuspectLeases(table, clock)
        self._running: dict[str, trio.Lock] = {}
        self._unsaved: set[str] = set()

    async def run(self) -> None:
        """Follow the rows until cancelled."""
        while True:
            await self.follow()
            await self._clock.sleep(self._follow_interval())

    def list(self) -> list[Suspect]:
        """Return the quarantined requests, in the order of fingerprints."""
        found = [suspect for suspect in self._suspects if suspect.quarantined]
        return sorted(found, key=lambda suspect: suspect.fingerprint)

    def quarantined(self, fingerprint: str) -> bool:
        """Return whether a request is refused."""
        suspect = self._suspects.get(fingerprint)
        return suspect is not None and suspect.quarantined

    def suspected(self, fingerprint: str) -> bool:
        """Return whether a target died while it ran the request."""
        return self._suspects.get(fingerprint) is not None

    def suspects(self) -> tuple[Suspect, ...]:
        """Return all suspects, in the order of fingerprints."""
        return tuple(sorted(self._suspects, key=lambda suspect: suspect.fingerprint))

    def remove(self, fingerprint: str) -> None:
        """Remove a suspect that another entry instance cleared or released."""
        self._suspects.remove(fingerprint)
        self._unsaved.discard(fingerprint)

    def merge_remote(self, suspect: Suspect) -> None:
        """Take over a mark that another entry instance spread."""
        if suspect.expires > self._clock.now():
            self._suspects.merge(suspect)

    @asynccontextmanager
    async def exclusive_retry(self, fingerprint: str, target_id: str) -> AsyncIterator[None]:
        """Wait until no other suspect of any entry instance runs on the target.

        When the target dies, the suspect that ran there is then the only one to be marked again.
        """
        if not self.suspected(fingerprint):
            yield
            return
        async with (
            self._running.setdefault(target_id, trio.Lock()),
            self._turns.turn(fingerprint, target_id),
        ):
            yield

    async def record_crash(self, fingerprint: str, target_id: str) -> None:
        """Mark a request that ran on a target when it died.

        Returns when the mark is in the table service, so that the marks of other entry instances
        are known, or after `STORE_WAIT`.
        """
        expires = self._clock.now() + QUARANTINE_LIFETIME
        suspect = self._suspects.merge(Suspect(fingerprint, (target_id,), expires))
        log_events.emit(log_events.REQUEST_SUSPECTED, fingerprint=fingerprint, target=target_id)
        self._unsaved.add(fingerprint)
        self._spreading.broadcast(suspect)
        with trio.move_on_after(STORE_WAIT.total_seconds()):
            await self._save(fingerprint)
        if self.quarantined(fingerprint):
            log_events.emit(log_events.REQUEST_QUARANTINED, fingerprint=fingerprint)
            # The caller learns of the failure when every entry instance refuses the request, so
            # that sending it again through another one costs no third target.
            await self._clock.sleep(2 * self._follow_interval())

    async def record_success(self, fingerprint: str) -> None:
        """Clear a suspect that has finished; a quarantined request is not cleared."""
        if not self.suspected(fingerprint) or self.quarantined(fingerprint):
            return
        self.remove(fingerprint)
        self._spreading.withdraw(fingerprint)
        with trio.move_on_after(STORE_WAIT.total_seconds()):
            await self._delete(fingerprint, only_suspect=True)

    async def release(self, fingerprint: str) -> ReleaseOutcome:
        """Let a quarantined request run again, on every entry instance."""
        known = self.suspected(fingerprint)
        deleted = await self._delete(fingerprint, only_suspect=False)
        if isinstance(deleted, StoreUnavailable):
            return ReleaseUnavailable(deleted.reason)
        self.remove(fingerprint)
        self._spreading.withdraw(fingerprint)
        return Released() if known or deleted else NotSuspected()

    async def follow(self) -> None:
        """Take over the rows of the table service and save the marks that it lacks."""
        self._suspects.remove_expired(self._clock.now())
        for fingerprint in list(self._unsaved):
            if not await self._save(fingerprint):
                return
        rows = await self._table.scan(SUSPECT_PREFIX, limit=FOLLOW_LIMIT_ROWS)
        if isinstance(rows, StoreUnavailable):
            return
        stored = [msgspec.msgpack.decode(row.value, type=Suspect) for row in rows]
        if len(rows) < FOLLOW_LIMIT_ROWS:
            kept = {suspect.fingerprint for suspect in stored} | self._unsaved
            for suspect in self._suspects:
                if suspect.fingerprint not in kept:
                    self._suspects.remove(suspect.fingerprint)
        for suspect in stored:
            self.merge_remote(suspect)

    def _follow_interval(self) -> timedelta:
        return max(MIN_FOLLOW_INTERVAL, FOLLOW_INTERVAL_PER_MEMBER * self._members())

    async def _save(self, fingerprint: str) -> bool:
        """Merge a mark into its row; return False when the table service is unavailable."""
        key = SUSPECT_PREFIX + fingerprint
        for _ in range(MAX_WRITE_TRIES):
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

    async def _delete(self, fingerprint: str, *, only_suspect: bool) -> bool | StoreUnavailable:
        """Delete a row; return whether there was one to delete."""
        key = SUSPECT_PREFIX + fingerprint
        for _ in range(MAX_WRITE_TRIES):
            rows = await self._table.read([key])
            if isinstance(rows, StoreUnavailable):
                return rows
            row = rows.get(key)
            if row is None:
                return False
            if only_suspect and msgspec.msgpack.decode(row.value, type=Suspect).quarantined:
                return False
            outcome = await self._table.transact([Condition(key, row.version)], [Write(key, None)])
            if isinstance(outcome, Committed):
                return True
        return StoreUnavailable("the row kept changing")
