"""Interfaces of the platform's services, and the values that they exchange."""

from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Protocol


@dataclass(frozen=True, slots=True)
class Row:
    """A row of the table service; `version` grows with each write of the row, from 1."""

    key: str
    value: bytes = field(repr=False)
    version: int


@dataclass(frozen=True, slots=True)
class Condition:
    """Requires that a row has this version, or is absent when `version` is 0."""

    key: str
    version: int


@dataclass(frozen=True, slots=True)
class Write:
    """Sets a row, or deletes it when `value` is None."""

    key: str
    value: bytes | None = field(repr=False)


@dataclass(frozen=True, slots=True)
class Committed:
    """The transaction took effect."""


@dataclass(frozen=True, slots=True)
class ConditionFailed:
    """The transaction had no effect, because the rows named in `keys` had other versions."""

    keys: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class StoreUnavailable:
    """The service could not be reached or refused; a transaction had no effect."""

    reason: str


@dataclass(frozen=True, slots=True)
class ReplyLost:
    """The request was sent and no reply came; a transaction may have taken effect."""

    reason: str


@dataclass(frozen=True, slots=True)
class Absent:
    """The object does not exist."""


TransactOutcome = Committed | ConditionFailed | StoreUnavailable | ReplyLost


class TableService(Protocol):
    """The platform's transactional table service."""

    async def transact(
        self, conditions: Sequence[Condition], writes: Sequence[Write]
    ) -> TransactOutcome:
        """Apply all writes if all conditions hold, else none."""

    async def read(self, keys: Sequence[str]) -> dict[str, Row] | StoreUnavailable:
        """Return the rows that exist, by key, from one consistent state."""

    async def scan(
        self, prefix: str, after: str = "", limit: int = 1000
    ) -> list[Row] | StoreUnavailable:
        """Return up to `limit` rows with the prefix, in key order, after the key `after`."""


class ObjectStore(Protocol):
    """The platform's object store."""

    async def put(self, key: str, value: bytes) -> Committed | StoreUnavailable | ReplyLost:
        """Store an object."""

    async def get(self, key: str) -> bytes | Absent | StoreUnavailable:
        """Return an object."""


@dataclass(frozen=True, slots=True)
class InstanceRecord:
    """An instance of the instance list.

    `role` is `entry`, `engine` or `plain`. `service` is empty for entries. `peer_address` is empty
    for targets.
    """

    instance_id: str
    role: str
    service: str
    address: str
    peer_address: str
    region: str
    zone: str
    leaving: bool = False


class InstanceList(Protocol):
    """The platform's lagging list of instances."""

    async def instances(self) -> list[InstanceRecord] | StoreUnavailable:
        """Return the live and leaving instances."""
