"""Messages between an entry instance and the platform's services."""

from dataclasses import dataclass

from wasabiwell_entry.state.platform import Condition, Row, Write


@dataclass(frozen=True, slots=True)
class TransactBody:
    """Body of `POST /transact`."""

    conditions: list[Condition]
    writes: list[Write]


@dataclass(frozen=True, slots=True)
class TransactReply:
    """Response of `POST /transact`; `failed` has the keys whose conditions did not hold."""

    committed: bool
    failed: list[str]


@dataclass(frozen=True, slots=True)
class ReadBody:
    """Body of `POST /read`."""

    keys: list[str]


@dataclass(frozen=True, slots=True)
class RowsReply:
    """Response of `POST /read` and `GET /scan`."""

    rows: list[Row]
