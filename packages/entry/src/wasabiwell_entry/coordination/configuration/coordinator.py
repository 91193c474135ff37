"""Commits configuration versions and keeps the newest one in force."""

import secrets
from dataclasses import dataclass

import msgspec
from wasabiwell_config import Findings, configuration_from_items, validate

from wasabiwell_entry.coordination.configuration.const import (
    DELTA_PREFIX,
    HEAD_KEY,
    POLL_INTERVAL,
)
from wasabiwell_entry.coordination.configuration.errors import (
    Accepted,
    ApplyOutcome,
    ApplyUnavailable,
    ApplyUncertain,
    Conflict,
    Invalid,
)
from wasabiwell_entry.state import log_events
from wasabiwell_entry.state.clock import Clock
from wasabiwell_entry.state.configuration import (
    ConfigurationDelta,
    ConfigurationState,
    apply_changes,
)
from wasabiwell_entry.state.outcomes import Finding
from wasabiwell_entry.state.platform import (
    Committed,
    Condition,
    ConditionFailed,
    ReplyLost,
    StoreUnavailable,
    TableService,
    Write,
)


@dataclass(frozen=True, slots=True)
class Head:
    """Value of the row `config/head`; `attempt_id` identifies the commit."""

    version: int
    attempt_id: str


@dataclass(frozen=True, slots=True)
class _StoredHead:
    head: Head
    row_version: int


class ConfigurationCoordinator:
    """Applies changes by compare-and-set and follows the versions of the table service."""

    __slots__ = ("_clock", "_state", "_table")

    def __init__(self, table: TableService, state: ConfigurationState, clock: Clock) -> None:
        self._table = table
        self._state = state
        self._clock = clock

    async def run(self) -> None:
        """Follow the table service until cancelled."""
        while True:
            await self.refresh()
            await self._clock.sleep(POLL_INTERVAL)

    async def refresh(self) -> StoreUnavailable | None:
        """Put all versions of the table service in force that are newer than the one here."""
        match await self._read_head():
            case StoreUnavailable() as unavailable:
                return unavailable
            case _StoredHead(head=head):
                return await self._catch_up(head.version)

    async def apply(self, base_version: int, changes: dict[str, bytes | None]) -> ApplyOutcome:
        """Commit changes that an operator made against `base_version`."""
        if isinstance(unavailable := await self.refresh(), StoreUnavailable):
            return ApplyUnavailable(unavailable.reason)
        conflicts = self._conflicting_paths(base_version, changes)
        if conflicts:
            return Conflict(self._state.version, conflicts)
        findings = _check(self._state, changes)
        if findings:
            return Invalid(findings)
        return await self._commit(changes)

    async def _commit(self, changes: dict[str, bytes | None]) -> ApplyOutcome:
        stored = await self._read_head()
        if isinstance(stored, StoreUnavailable):
            return ApplyUnavailable(stored.reason)
        if stored.head.version != self._state.version:
            return Conflict(stored.head.version, tuple(sorted(changes)))
        delta = ConfigurationDelta(stored.head.version + 1, changes)
        head = Head(delta.version, secrets.token_hex(8))
        outcome = await self._table.transact(
            [Condition(HEAD_KEY, stored.row_version)],
            [
                Write(HEAD_KEY, msgspec.json.encode(head)),
                Write(delta_key(delta.version), msgspec.msgpack.encode(delta)),
            ],
        )
        match outcome:
            case Committed():
                return self._accept(delta)
            case ConditionFailed():
                return Conflict(stored.head.version + 1, tuple(sorted(changes)))
            case StoreUnavailable(reason=reason):
                return ApplyUnavailable(reason)
            case ReplyLost(reason=reason):
                return await self._settle_lost_commit(head, delta, reason)

    async def _settle_lost_commit(
        self, head: Head, delta: ConfigurationDelta, reason: str
    ) -> ApplyOutcome:
        stored = await self._read_head()
        if isinstance(stored, StoreUnavailable):
            return ApplyUncertain(reason)
        if stored.head == head:
            return self._accept(delta)
        if stored.head.version < head.version:
            return ApplyUncertain(reason)
        return Conflict(stored.head.version, tuple(sorted(delta.changes)))

    def _accept(self, delta: ConfigurationDelta) -> ApplyOutcome:
        self._advance(delta)
        return Accepted(delta.version)

    def _advance(self, delta: ConfigurationDelta) -> None:
        before = self._state.version
        findings = self._state.advance(delta)
        if findings is not None:
            log_events.emit(
                log_events.CONFIGURATION_INVALID, version=delta.version, findings=findings
            )
        if self._state.version != before:
            log_events.emit(log_events.CONFIGURATION_IN_FORCE, version=self._state.version)

    def _conflicting_paths(
        self, base_version: int, changes: dict[str, bytes | None]
    ) -> tuple[str, ...]:
        if base_version == self._state.version:
            return ()
        deltas = self._state.deltas_since(base_version)
        if deltas is None:
            return tuple(sorted(changes))
        changed_since = {path for delta in deltas for path in delta.changes}
        return tuple(sorted(changed_since & set(changes)))

    async def _read_head(self) -> _StoredHead | StoreUnavailable:
        rows = await self._table.read([HEAD_KEY])
        if isinstance(rows, StoreUnavailable):
            return rows
        row = rows.get(HEAD_KEY)
        if row is None:
            return _StoredHead(Head(0, ""), 0)
        return _StoredHead(msgspec.json.decode(row.value, type=Head), row.version)

    async def _catch_up(self, version: int) -> StoreUnavailable | None:
        while self._state.version < version:
            rows = await self._table.scan(DELTA_PREFIX, after=delta_key(self._state.version))
            if isinstance(rows, StoreUnavailable):
                return rows
            before = self._state.version
            for row in rows:
                self._advance(msgspec.msgpack.decode(row.value, type=ConfigurationDelta))
            if self._state.version == before:
                return None
        return None


def delta_key(version: int) -> str:
    """Return the table key of a delta; keys sort in the order of versions."""
    return f"{DELTA_PREFIX}{version:012d}"


def _check(state: ConfigurationState, changes: dict[str, bytes | None]) -> tuple[Finding, ...]:
    match configuration_from_items(apply_changes(state.items, changes)):
        case Findings(findings=findings):
            pass
        case configuration:
            findings = validate(configuration)
    return tuple(Finding(finding.place, finding.message) for finding in findings)
