"""Request and response bodies of the operators' interface below `/admin/v1`."""

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
    """Response of `POST /admin/v1/configuration`.

    `outcome` is accepted, accepted_not_shared, conflict, invalid, unavailable or uncertain. `peers`
    is the number of other entry instances that confirmed the version before this response.
    """

    outcome: str
    version: int = 0
    paths: tuple[str, ...] = ()
    findings: tuple[Finding, ...] = ()
    reason: str = ""
    peers: int = 0


@dataclass(frozen=True, slots=True)
class ConfigurationReply:
    """Response of `GET /admin/v1/configuration`."""

    version: int
    items: dict[str, msgspec.Raw]


@dataclass(frozen=True, slots=True)
class HistoryEntry:
    """One version and the paths that it changed."""

    version: int
    paths: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class HistoryReply:
    """Response of `GET /admin/v1/configuration/history`, with the newest version first.

    An entry instance keeps only recent versions; older ones are not listed.
    """

    version: int
    versions: tuple[HistoryEntry, ...]


@dataclass(frozen=True, slots=True)
class DrainReply:
    """Response to draining an entry instance or a target."""

    node_id: str
    draining: str


@dataclass(frozen=True, slots=True)
class QuarantineReply:
    """Response of `GET /admin/v1/quarantine`."""

    suspects: tuple[SuspectFigures, ...]


@dataclass(frozen=True, slots=True)
class TraceReply:
    """Response of `GET /admin/v1/trace/REQUEST-ID`."""

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
    """Body of `POST /admin/v1/orders`; `kind` determines which other fields are required."""

    engine: str
    kind: Literal["load_model", "load_adapter", "change_role"]
    model: str = ""
    adapter: str = ""
    version: str = ""
    role: str = ""

    def order(self) -> EngineOrder:
        """Return the order; raises `msgspec.ValidationError` when a required field is empty."""
        match self.kind:
            case "load_model":
                return LoadModel(self._required("model"), self._required("version"))
            case "load_adapter":
                return LoadAdapter(self._required("adapter"), self._required("version"))
            case "change_role":
                return ChangeRole(self._required("role"))

    def _required(self, name: str) -> str:
        value: str = getattr(self, name)
        if not value:
            raise msgspec.ValidationError(f"{self.kind} needs {name} - at `$.{name}`")
        return value


@dataclass(frozen=True, slots=True)
class OrderReply:
    """Response to an order; `retry_after_s` is set when a later retry can succeed."""

    outcome: str
    reason: str = ""
    retry_after_s: float | None = None
