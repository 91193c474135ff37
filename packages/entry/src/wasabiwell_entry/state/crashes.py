"""Crashes of targets, and the causes that may have triggered them."""

from dataclasses import dataclass, field
from datetime import datetime, timedelta
from typing import Annotated

import msgspec


class RequestCause(msgspec.Struct, frozen=True, array_like=True, tag="request"):
    """A request that may crash the targets that run it, with all of its repetitions."""

    fingerprint: str

    def __str__(self) -> str:
        return f"request {self.fingerprint}"


class PartCause(msgspec.Struct, frozen=True, array_like=True, tag="part"):
    """A part of prompts that may crash the engines of a service, whatever else a prompt holds.

    Services run different models, and a part that crashes one may be sound for another.
    """

    service: str
    part_id: str

    def __str__(self) -> str:
        return f"prompt part {self.part_id} of service {self.service}"


Cause = RequestCause | PartCause


class Crash(msgspec.Struct, frozen=True, array_like=True):
    """A crash of a target: its id with its incarnation, and the request that ran there."""

    target: str
    fingerprint: str


@dataclass(slots=True)
class CrashRecord:
    """Crashes for which a cause is suspected.

    Crashes are kept in the order in which they became known, the oldest ones are dropped when there
    are many. Records of several entry instances are merged in any order and any number of times.
    `cleared` are the crashes before a success, which a late message does not make count again.
    `proven` is set when a request with the cause has succeeded lately on any instance.
    `refused_until` is a monotonic time, and `refusals` counts how often the cause came to be
    refused. `expiry_logged` is set once the end of the last refusal has its log line.
    """

    crashes: dict[Crash, None] = field(default_factory=dict)
    cleared: dict[Crash, None] = field(default_factory=dict)
    changed_at: timedelta = timedelta()
    refused_until: timedelta = timedelta()
    refusals: int = 0
    proven: bool = False
    expiry_logged: bool = False

    @property
    def counted(self) -> set[Crash]:
        """Return the crashes that have not been cleared."""
        return self.crashes.keys() - self.cleared.keys()


class StoredRefusal(msgspec.Struct, frozen=True, array_like=True):
    """A refused cause in the platform's store; `refused_until` is a wall-clock time."""

    cause: Cause
    crashes: tuple[Crash, ...]
    refused_until: Annotated[datetime, msgspec.Meta(tz=True)]
    refusals: int
