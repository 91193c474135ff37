"""Interfaces that quarantine requires from other capabilities."""

from typing import Protocol

from wasabiwell_entry.state.suspects import Suspect


class SuspectPort(Protocol):
    """Broadcasts suspects to the other entry instances, faster than their scans of the table."""

    def broadcast(self, suspect: Suspect) -> None:
        """Publish a suspect; receivers pass it to `QuarantineCoordinator.merge_remote`."""

    def withdraw(self, fingerprint: str) -> None:
        """Withdraw a suspect; receivers pass it to `QuarantineCoordinator.remove`."""
