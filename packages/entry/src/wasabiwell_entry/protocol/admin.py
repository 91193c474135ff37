"""Messages of the operators' interface below `/admin/v1`."""

from dataclasses import dataclass
from typing import Any

import msgspec

from wasabiwell_entry.state.outcomes import Finding


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


def decode_changes(body: ApplyBody) -> dict[str, bytes | None]:
    """Return the changes with each item in its canonical encoding."""
    changes: dict[str, bytes | None] = {}
    for path, raw in body.changes.items():
        value: Any = msgspec.json.decode(raw)
        changes[path] = None if value is None else msgspec.json.encode(value, order="deterministic")
    return changes
