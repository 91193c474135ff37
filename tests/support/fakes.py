"""Fakes at the interfaces of the coordination layer."""

from collections.abc import Sequence
from dataclasses import dataclass, field

import trio
from wasabiwell_entry.state.platform import (
    Absent,
    Committed,
    Condition,
    ConditionFailed,
    ResponseLost,
    Row,
    StoreUnavailable,
    TransactOutcome,
    Write,
)
from wasabiwell_entry.state.suspects import Suspect


class NoSuspectGossip:
    """Suspect gossip without peers."""

    def broadcast(self, suspect: Suspect) -> None:
        """Do nothing."""

    def withdraw(self, fingerprint: str) -> None:
        """Do nothing."""


@dataclass(slots=True)
class FakeTable:
    """An in-memory table service; each affected operation decrements the fault counters."""

    rows: dict[str, Row] = field(default_factory=dict)
    versions: dict[str, int] = field(default_factory=dict)
    unavailable: bool = False
    lose_replies: int = 0
    drop_writes: int = 0
    delay_writes: int = 0
    hang_seconds: float = 0.0
    transactions: int = 0
    reads: int = 0
    delayed: list[tuple[Sequence[Condition], Sequence[Write]]] = field(default_factory=list)

    async def transact(
        self, conditions: Sequence[Condition], writes: Sequence[Write]
    ) -> TransactOutcome:
        """Apply all writes if all conditions hold, otherwise none."""
        self.transactions += 1
        if await self._hung():
            return ResponseLost("no reply")
        if self.unavailable:
            return StoreUnavailable("outage")
        if self.drop_writes > 0:
            self.drop_writes -= 1
            return ResponseLost("the request was lost")
        if self.delay_writes > 0:
            self.delay_writes -= 1
            self.delayed.append((conditions, writes))
            return ResponseLost("the write takes effect later")
        return self._apply(conditions, writes)

    def apply_delayed_write(self) -> None:
        """Apply the oldest delayed write if its conditions still hold."""
        if self.delayed:
            self._apply(*self.delayed.pop(0))

    async def _hung(self) -> bool:
        hung = self.hang_seconds > 0.0
        await trio.sleep(self.hang_seconds)
        return hung

    def _apply(self, conditions: Sequence[Condition], writes: Sequence[Write]) -> TransactOutcome:
        failed = tuple(
            condition.key
            for condition in conditions
            if self._version(condition.key) != condition.version
        )
        if not failed:
            for write in writes:
                self._write(write)
        if self.lose_replies > 0:
            self.lose_replies -= 1
            return ResponseLost("the reply was lost")
        return ConditionFailed(failed) if failed else Committed()

    async def read(self, keys: Sequence[str]) -> dict[str, Row] | StoreUnavailable:
        """Return the existing rows by key."""
        self.reads += 1
        if await self._hung():
            return StoreUnavailable("no reply")
        if self.unavailable:
            return StoreUnavailable("outage")
        return {key: self.rows[key] for key in keys if key in self.rows}

    async def scan(
        self, prefix: str, after: str = "", limit: int = 1000
    ) -> list[Row] | StoreUnavailable:
        """Return rows with the prefix in key order."""
        await trio.lowlevel.checkpoint()
        if self.unavailable:
            return StoreUnavailable("outage")
        keys = sorted(key for key in self.rows if key.startswith(prefix) and key > after)
        return [self.rows[key] for key in keys[:limit]]

    def _version(self, key: str) -> int:
        row = self.rows.get(key)
        return row.version if row is not None else 0

    def _write(self, write: Write) -> None:
        if write.value is None:
            self.rows.pop(write.key, None)
            return
        self.versions[write.key] = self.versions.get(write.key, 0) + 1
        self.rows[write.key] = Row(write.key, write.value, self.versions[write.key])


@dataclass(slots=True)
class FakeObjects:
    """An in-memory object store."""

    objects: dict[str, bytes] = field(default_factory=dict)
    unavailable: bool = False

    async def put(self, key: str, value: bytes) -> Committed | StoreUnavailable | ResponseLost:
        """Store an object."""
        await trio.lowlevel.checkpoint()
        if self.unavailable:
            return StoreUnavailable("outage")
        self.objects[key] = value
        return Committed()

    async def get(self, key: str) -> bytes | Absent | StoreUnavailable:
        """Return an object."""
        await trio.lowlevel.checkpoint()
        if self.unavailable:
            return StoreUnavailable("outage")
        return self.objects.get(key, Absent())
