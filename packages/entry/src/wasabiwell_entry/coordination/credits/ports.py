"""Interface to other entry instances that credits require, and its messages."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from wasabiwell_entry.coordination.credits.errors import CreditOwnerUnreachable, CreditRefused
from wasabiwell_entry.state.credits import Amount, CreditClaim
from wasabiwell_entry.state.members import Member


@dataclass(frozen=True, slots=True)
class CreditGranted:
    """The credit that an owner has recorded for a holder after the claim `sequence`."""

    engine_id: str
    sequence: int
    amount: Amount


@dataclass(frozen=True, slots=True)
class CreditReturn:
    """A holder releases its entire credit of an engine."""

    engine_id: str
    holder: str
    sequence: int


ClaimResponse = CreditGranted | CreditRefused


class CreditPeers(Protocol):
    """Messages about credits to other entry instances."""

    async def acquire(
        self, owner: Member, claims: Sequence[CreditClaim]
    ) -> list[ClaimResponse] | CreditOwnerUnreachable:
        """Send claims to the owner of the engines and return one response per claim."""

    async def release(
        self, owner: Member, returns: Sequence[CreditReturn]
    ) -> CreditOwnerUnreachable | None:
        """Release credits; if the message is lost, they expire."""

    async def outstanding(
        self, holder: Member, engine_ids: Sequence[str]
    ) -> list[CreditClaim] | CreditOwnerUnreachable:
        """Return the credit of the given engines that a member holds."""
