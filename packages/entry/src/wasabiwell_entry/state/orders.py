"""Orders to engines, and the lease under which they are sent."""

from dataclasses import dataclass
from datetime import timedelta


@dataclass(frozen=True, slots=True)
class LoadModel:
    """Load a version of a model's weights."""

    model: str
    version: str


@dataclass(frozen=True, slots=True)
class LoadAdapter:
    """Load a version of an adapter's weights for a loaded model."""

    adapter: str
    version: str


@dataclass(frozen=True, slots=True)
class ChangeRole:
    """Change what an engine does, for example `prefill` or `decode`."""

    role: str


EngineOrder = LoadModel | LoadAdapter | ChangeRole


@dataclass(frozen=True, slots=True)
class LeaseRecord:
    """Value of the row `lease/ENGINE`; `fencing` grows with each lease and is never reused."""

    holder: str
    attempt_id: str
    fencing: int
    released: bool = False


def lease_key(engine_id: str) -> str:
    """Return the key of an engine's lease."""
    return f"lease/{engine_id}"


@dataclass(slots=True)
class RateLedger:
    """Loads that an owner may grant in each interval; the first interval is withheld.

    The owner before this one may have granted a whole interval's loads just before it ended.
    """

    interval: timedelta
    interval_end: timedelta
    left: int = 0

    def take(self, count: int, per_interval: int, now: timedelta) -> int:
        """Return how many loads are granted."""
        if now >= self.interval_end:
            self.left = per_interval
            self.interval_end = now + self.interval
        granted = min(count, self.left)
        self.left -= granted
        return granted
