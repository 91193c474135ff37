"""Prompt parts with which a request has succeeded at this entry instance lately."""

from datetime import timedelta

from wasabiwell_entry.coordination.quarantine.const import MAX_PROVEN_PARTS, SUSPICION_LIFETIME
from wasabiwell_entry.state.clock import Clock
from wasabiwell_entry.state.crashes import Cause, PartCause


class ProvenParts:
    """Prompt parts by their last use, with the monotonic time of the last success."""

    __slots__ = ("_clock", "_succeeded_at")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._succeeded_at: dict[Cause, timedelta] = {}

    def __len__(self) -> int:
        return len(self._succeeded_at)

    def __contains__(self, part: Cause) -> bool:
        """Return whether a request with the part has succeeded within `SUSPICION_LIFETIME`."""
        succeeded_at = self._succeeded_at.get(part)
        return (
            succeeded_at is not None and self._clock.monotonic() - succeeded_at < SUSPICION_LIFETIME
        )

    def add(self, part: PartCause) -> None:
        """Record a success; the part that was used longest ago is dropped when there are many."""
        self._succeeded_at.pop(part, None)
        self._succeeded_at[part] = self._clock.monotonic()
        if len(self._succeeded_at) > MAX_PROVEN_PARTS:
            del self._succeeded_at[next(iter(self._succeeded_at))]
