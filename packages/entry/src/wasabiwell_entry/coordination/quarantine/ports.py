"""Interfaces that quarantine requires from other capabilities."""

from typing import Protocol

from wasabiwell_entry.state.crashes import Cause, StoredRefusal
from wasabiwell_entry.state.platform import StoreUnavailable
from wasabiwell_entry.state.suspects import Suspect


class RefusalStore(Protocol):
    """Keeps refused causes beyond the end of all entry instances."""

    async def load(self) -> list[StoredRefusal] | StoreUnavailable:
        """Return all refusals that were saved."""

    async def save(self, refusal: StoredRefusal) -> StoreUnavailable | None:
        """Save a refusal, in place of an earlier one of the same cause."""

    async def remove(self, cause: Cause) -> StoreUnavailable | None:
        """Remove the refusal of a cause; an unknown one is ignored."""


class SuspectPort(Protocol):
    """Broadcasts suspects to the other entry instances, faster than their scans of the table."""

    def broadcast(self, suspect: Suspect) -> None:
        """Publish a suspect; receivers pass it to `QuarantineCoordinator.merge_remote`."""

    def withdraw(self, fingerprint: str) -> None:
        """Withdraw a suspect; receivers pass it to `QuarantineCoordinator.remove`."""
