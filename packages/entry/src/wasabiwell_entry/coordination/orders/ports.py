"""Interfaces that orders require from other layers."""

from datetime import timedelta
from typing import Protocol

from wasabiwell_entry.coordination.orders.errors import (
    OrderAcknowledged,
    OrderRefused,
    OrderUnacknowledged,
)
from wasabiwell_entry.state.members import Member
from wasabiwell_entry.state.orders import EngineOrder
from wasabiwell_entry.state.targets import Target


class OrderPort(Protocol):
    """Sends orders to engines."""

    async def send(
        self, target: Target, order: EngineOrder, fencing: int, timeout: timedelta
    ) -> OrderAcknowledged | OrderRefused | OrderUnacknowledged:
        """Send an order once, without retries, and wait for its acknowledgement."""


class RatePeers(Protocol):
    """Requests loads from the entry instance that owns the weight store's rate limit."""

    async def take(self, owner: Member, count: int) -> int:
        """Return how many loads the owner grants, or 0 if it does not respond."""
