"""What the knowledge of targets needs of the other layers."""

from dataclasses import dataclass
from typing import Protocol

from wasabiwell_entry.coordination.targets.errors import LoadUnavailable
from wasabiwell_entry.state.targets import EngineLoad, Target


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Answer of an engine to a load query."""

    load: EngineLoad
    leaving: bool


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """A prefix block was stored in an engine's cache, or evicted from it."""

    block: int
    stored: bool


@dataclass(frozen=True, slots=True)
class CacheReport:
    """Changes of an engine's prefix cache up to number `last`; some may be missing."""

    events: tuple[CacheEvent, ...]
    last: int


class LoadPort(Protocol):
    """Queries to engines."""

    async def cache_events(self, target: Target, after: int) -> CacheReport | LoadUnavailable:
        """Return the changes of an engine's prefix cache after a number."""

    async def load(self, target: Target) -> LoadReport | LoadUnavailable:
        """Return the load that an engine reports, which lags behind."""
