"""What credits need of other entry instances."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from wasabiwell_entry.coordination.credits.errors import CreditRefused, OwnerUnreachable
from wasabiwell_entry.state.credits import Amount, CreditClaim
from wasabiwell_entry.state.members import Member


@dataclass(frozen=True, slots=True)
class CreditGranted:
    """A holder's credit of an engine, as its owner recorded it for the claim `sequence`."""

    engine_id: str
    sequence: int
    amount: Amount


@dataclass(frozen=True, slots=True)
class CreditReturn:
    """A holder gives up its whole credit of an engine."""

    engine_id: str
    holder: str
    sequence: int


ClaimAnswer = CreditGranted | CreditRefused


class CreditPeers(Protocol):
    """Messages about credits to other entry instances."""

    async def acquire(
        self, owner: Member, claims: Sequence[CreditClaim]
    ) -> list[ClaimAnswer] | OwnerUnreachable:
        """Send claims to the owner of their engines and return one answer for each."""

    async def release(
        self, owner: Member, returns: Sequence[CreditReturn]
    ) -> OwnerUnreachable | None:
        """Give credits back; those that do not arrive expire."""

    async def outstanding(
        self, holder: Member, engine_ids: Sequence[str]
    ) -> list[CreditClaim] | OwnerUnreachable:
        """Return the credit of these engines that a member holds."""
