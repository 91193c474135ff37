"""What placing requests needs of other capabilities."""

from typing import Protocol

from wasabiwell_entry.state.targets import Target


class TargetHealthPort(Protocol):
    """Beliefs about targets."""

    def listed(self, target: Target) -> bool:
        """Return whether the target is in the platform's list and is not leaving."""

    def usable(self, target: Target) -> bool:
        """Return whether the target should get requests."""

    def failure_rate(self, target: Target) -> float:
        """Return the recent share of requests that the target failed, from 0 to 1."""


class CellPort(Protocol):
    """Zones of a large fleet that place requests among themselves."""

    def in_use(self, service: str) -> bool:
        """Return whether each zone places the requests for a service on its own targets first."""
