"""Messages of the operators' interface below `/admin/v1`."""

from dataclasses import dataclass
from typing import Any, Literal

import msgspec

from wasabiwell_entry.state.orders import ChangeRole, EngineOrder, LoadAdapter, LoadModel
from wasabiwell_entry.state.outcomes import Finding
from wasabiwell_entry.state.reports import RequestRecord, SuspectFigures


@dataclass(frozen=True, slots=True)
class ApplyBody:
    """Body of `POST /admin/v1/configuration`; a removed item maps to null."""

    base_version: int
    changes: dict[str, msgspec.Raw]


@dataclass(frozen=True, slots=True)
class ApplyReply:
    """Answer of an apply.

    `outcome` is accepted, accepted_not_shared, conflict, invalid, unavailable or uncertain; `peers`
    is the number of other entry instances that took the version before the answer.
    """

    outcome: str
    version: int = 0
    paths: tuple[str, ...] = ()
    findings: tuple[Finding, ...] = ()
    reason: str = ""
    peers: int = 0


@dataclass(frozen=True, slots=True)
class ConfigurationReply:
    """Answer of `GET /admin/v1/configuration`."""

    version: int
    items: dict[str, msgspec.Raw]


@dataclass(frozen=True, slots=True)
class HistoryEntry:
    """One version and the paths that it changed."""

    version: int
    paths: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class HistoryReply:
    """Answer of `GET /admin/v1/configuration/history`; the newest version comes first.

    An entry instance keeps recent versions only; older ones are not listed.
    """

    version: int
    versions: tuple[HistoryEntry, ...]


@dataclass(frozen=True, slots=True)
class DrainReply:
    """Answer of the drain of an entry instance or a target."""

    node_id: str
    draining: str


@dataclass(frozen=True, slots=True)
class QuarantineReply:
    """Answer of `GET /admin/v1/quarantine`."""

    suspects: tuple[SuspectFigures, ...]


@dataclass(frozen=True, slots=True)
class TraceReply:
    """Answer of `GET /admin/v1/trace/REQUEST-ID`."""

    node_id: str
    request: RequestRecord


def decode_changes(body: ApplyBody) -> dict[str, bytes | None]:
    """Return the changes with each item in its canonical encoding."""
    changes: dict[str, bytes | None] = {}
    for path, raw in body.changes.items():
        value: Any = msgspec.json.decode(raw)
        changes[path] = None if value is None else msgspec.json.encode(value, order="deterministic")
    return changes


@dataclass(frozen=True, slots=True)
class OrderBody:
    """Body of `POST /admin/v1/orders`; `kind` says which of the other fields it needs."""

    engine: str
    kind: Literal["load_model", "load_adapter", "change_role"]
    model: str = ""
    adapter: str = ""
    version: str = ""
    role: str = ""

    def order(self) -> EngineOrder:
        """Return the order; raises `msgspec.ValidationError` when a field is missing."""
        match self.kind:
            case "load_model":
                return LoadModel(self._given("model"), self._given("version"))
            case "load_adapter":
                return LoadAdapter(self._given("adapter"), self._given("version"))
            case "change_role":
                return ChangeRole(self._given("role"))

    def _given(self, name: str) -> str:
        value: str = getattr(self, name)
        if not value:
            raise msgspec.ValidationError(f"{self.kind} needs {name} - at `$.{name}`")
        return value


@dataclass(frozen=True, slots=True)
class OrderReply:
    """Answer to an order; `retry_after_s` is set where repeating later can succeed."""

    outcome: str
    reason: str = ""
    retry_after_s: float | None = None
