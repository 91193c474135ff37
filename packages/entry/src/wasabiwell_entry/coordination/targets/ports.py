"""Interfaces that target tracking requires from other layers."""

from dataclasses import dataclass
from typing import Protocol

from wasabiwell_entry.coordination.targets.errors import LoadUnavailable
from wasabiwell_entry.state.targets import EngineLoad, Target


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Response of an engine to a load query."""

    load: EngineLoad
    leaving: bool


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """A prefix block was stored in an engine's cache or evicted from it."""

    block: int
    stored: bool


@dataclass(frozen=True, slots=True)
class CacheReport:
    """Prefix cache events of an engine up to sequence number `last`, possibly incomplete."""

    events: tuple[CacheEvent, ...]
    last: int


class LoadPort(Protocol):
    """Load and cache queries to engines."""

    async def cache_events(self, target: Target, after: int) -> CacheReport | LoadUnavailable:
        """Return the prefix cache events after sequence number `after`."""

    async def load(self, target: Target) -> LoadReport | LoadUnavailable:
        """Return the load that an engine reports, which may be out of date."""
