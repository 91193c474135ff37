"""Outcomes of request placement."""

from dataclasses import dataclass
from datetime import timedelta

from wasabiwell_entry.coordination.placement.const import NO_TARGET_RETRY_AFTER
from wasabiwell_entry.state.forwarding import Helper
from wasabiwell_entry.state.targets import Target


@dataclass(frozen=True, slots=True)
class Placement:
    """Targets chosen for a request; `expected_seconds` is the predicted time to its first event."""

    target: Target
    helpers: tuple[Helper, ...]
    urgency: int
    expected_seconds: float


@dataclass(frozen=True, slots=True)
class NoPlacement:
    """No target of the service can take the request now; one may after `retry_after`."""

    reason: str
    retry_after: timedelta = NO_TARGET_RETRY_AFTER
