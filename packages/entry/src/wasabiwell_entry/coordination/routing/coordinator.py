"""Chooses the target with the fewest outstanding requests, preferring the own zone."""

from wasabiwell_entry.coordination.routing.const import LOST_TARGET_PAUSE, REMOTE_ZONE_PENALTY
from wasabiwell_entry.coordination.routing.errors import NoTarget
from wasabiwell_entry.state.clock import Clock
from wasabiwell_entry.state.targets import TargetStatus, TargetTable


class Router:
    """Chooses targets for one entry instance in the zone `zone`."""

    __slots__ = ("_clock", "_targets", "_zone")

    def __init__(self, targets: TargetTable, zone: str, clock: Clock) -> None:
        self._targets = targets
        self._zone = zone
        self._clock = clock

    def choose(self, service: str, excluded: frozenset[str]) -> TargetStatus | NoTarget:
        """Return the target that should take the next request of a service."""
        statuses = self._targets.of_service(service)
        if not statuses:
            return NoTarget(f"no target of service {service} is known")
        usable = [status for status in statuses if self._usable(status)]
        fresh = [status for status in usable if status.target.target_id not in excluded]
        if not fresh:
            return NoTarget(f"no target of service {service} takes new work")
        return min(fresh, key=self._cost)

    def _usable(self, status: TargetStatus) -> bool:
        if status.leaving:
            return False
        if status.lost_at is None:
            return True
        return self._clock.monotonic() - status.lost_at > LOST_TARGET_PAUSE

    def _cost(self, status: TargetStatus) -> tuple[float, str]:
        penalty = 0.0 if status.target.zone == self._zone else REMOTE_ZONE_PENALTY
        return status.outstanding + penalty, status.target.target_id
