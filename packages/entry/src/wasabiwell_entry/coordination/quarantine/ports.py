"""What quarantine needs of other capabilities."""

from typing import Protocol

from wasabiwell_entry.state.suspects import Suspect


class SuspectPort(Protocol):
    """Spreads marks to the other entry instances, faster than their reads of the table service."""

    def broadcast(self, suspect: Suspect) -> None:
        """Announce a suspect; receivers pass it to `QuarantineCoordinator.merge_remote`."""

    def withdraw(self, fingerprint: str) -> None:
        """Take a suspect back; receivers pass it to `QuarantineCoordinator.remove`."""
