"""Interfaces of the platform's services, and their data types."""

from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Protocol


@dataclass(frozen=True, slots=True)
class Row:
    """A row of the table service; `version` starts at 1 and grows with each write of the row."""

    key: str
    value: bytes = field(repr=False)
    version: int


@dataclass(frozen=True, slots=True)
class Condition:
    """Precondition that a row has this version, or is absent when `version` is 0."""

    key: str
    version: int


@dataclass(frozen=True, slots=True)
class Write:
    """Write of a row; it deletes the row when `value` is None."""

    key: str
    value: bytes | None = field(repr=False)


@dataclass(frozen=True, slots=True)
class Committed:
    """The transaction was committed."""


@dataclass(frozen=True, slots=True)
class ConditionFailed:
    """The transaction had no effect: at least one of the rows in `keys` had another version."""

    keys: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class StoreUnavailable:
    """The service was unreachable or refused the call; a transaction had no effect."""

    reason: str


@dataclass(frozen=True, slots=True)
class ResponseLost:
    """The request was sent but no reply arrived; a transaction may have been committed."""

    reason: str


@dataclass(frozen=True, slots=True)
class Absent:
    """The object does not exist."""


TransactOutcome = Committed | ConditionFailed | StoreUnavailable | ResponseLost


class TableService(Protocol):
    """The platform's transactional table service."""

    async def transact(
        self, conditions: Sequence[Condition], writes: Sequence[Write]
    ) -> TransactOutcome:
        """Apply all writes if all conditions hold, otherwise none."""

    async def read(self, keys: Sequence[str]) -> dict[str, Row] | StoreUnavailable:
        """Return the existing rows by key, from one consistent snapshot."""

    async def scan(
        self, prefix: str, after: str = "", limit: int = 1000
    ) -> list[Row] | StoreUnavailable:
        """Return up to `limit` rows with the prefix, in key order, after the key `after`."""


class ObjectStore(Protocol):
    """The platform's object store."""

    async def put(self, key: str, value: bytes) -> Committed | StoreUnavailable | ResponseLost:
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
    """The platform's list of instances; it lags behind their actual state."""

    async def instances(self) -> list[InstanceRecord] | StoreUnavailable:
        """Return the live and leaving instances."""
