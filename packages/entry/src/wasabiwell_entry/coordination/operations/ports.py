"""Interfaces that the operators' API requires from other capabilities."""

from typing import Protocol

from wasabiwell_entry.coordination.operations.errors import Done, NotFound, Unavailable
from wasabiwell_entry.state.reports import CreditFigures, QueueFigures, SuspectFigures


class QueueProvider(Protocol):
    """Reports the admission queues."""

    def queue_figures(self) -> tuple[QueueFigures, ...]:
        """Return the figures of each size class."""


class CreditProvider(Protocol):
    """Reports the engine capacity that this entry instance holds or has granted to others."""

    def credit_figures(self) -> tuple[CreditFigures, ...]:
        """Return the figures of each engine."""


class OwnerProvider(Protocol):
    """Finds the owner of an engine's capacity."""

    def owner_of(self, target_id: str) -> str:
        """Return the node id of the owner, or an empty string if it is unknown."""


class QuarantineProvider(Protocol):
    """Reports and releases requests suspected of crashing targets."""

    def suspect_figures(self) -> tuple[SuspectFigures, ...]:
        """Return all suspects that this entry instance knows."""

    async def release(self, fingerprint: str) -> Done | NotFound | Unavailable:
        """Release a quarantined request on every entry instance."""
