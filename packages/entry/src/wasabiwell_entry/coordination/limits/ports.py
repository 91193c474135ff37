"""Interfaces that limits require from other layers."""

from typing import Protocol

from wasabiwell_entry.coordination.limits.errors import LimitOwnerUnreachable
from wasabiwell_entry.coordination.limits.shares import LimitGrant, LimitRequest
from wasabiwell_entry.state.members import Member


class LimitOwnerPort(Protocol):
    """Messages to the owners of organisation limits."""

    async def acquire(
        self, owner: Member, request: LimitRequest
    ) -> LimitGrant | LimitOwnerUnreachable:
        """Request shares from another entry instance."""
