"""Parts of an entry instance that tell operators about themselves."""

from typing import Protocol

from wasabiwell_entry.coordination.operations.errors import Done, NotFound, Unavailable
from wasabiwell_entry.state.reports import CreditFigures, QueueFigures, SuspectFigures


class QueueProvider(Protocol):
    """The queues of admission."""

    def queue_figures(self) -> tuple[QueueFigures, ...]:
        """Return the figures of each size class."""


class CreditProvider(Protocol):
    """Capacity that this entry instance holds or has lent."""

    def credit_figures(self) -> tuple[CreditFigures, ...]:
        """Return the figures of each engine."""


class OwnerProvider(Protocol):
    """Who owns the capacity of an engine."""

    def owner_of(self, target_id: str) -> str:
        """Return the node id of the owner; empty when it is not known."""


class QuarantineProvider(Protocol):
    """Requests suspected of crashing targets."""

    def suspect_figures(self) -> tuple[SuspectFigures, ...]:
        """Return all suspects that this entry instance knows."""

    async def release(self, fingerprint: str) -> Done | NotFound | Unavailable:
        """Release a quarantined fingerprint everywhere."""
