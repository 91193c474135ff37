"""Orders to engines, and the lease that protects them by a fencing number."""

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
    """Change the role of an engine, for example to `prefill` or `decode`."""

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
    """Rate limiter for loads of weights; it grants nothing before `interval_end`.

    The previous owner may have granted the loads of a whole interval just before its ownership
    ended, so a new owner waits for one interval.
    """

    interval: timedelta
    interval_end: timedelta
    left: int = 0

    def take(self, count: int, per_interval: int, now: timedelta) -> int:
        """Return how many of `count` loads are granted."""
        if now >= self.interval_end:
            self.left = per_interval
            self.interval_end = now + self.interval
        granted = min(count, self.left)
        self.left -= granted
        return granted
