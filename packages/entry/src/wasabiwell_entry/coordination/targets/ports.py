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


class LoadPort(Protocol):
    """Load queries to engines."""

    async def load(self, target: Target) -> LoadReport | LoadUnavailable:
        """Return the load that an engine reports, which lags behind."""
