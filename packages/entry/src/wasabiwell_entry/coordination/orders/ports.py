"""What orders need of the other layers."""

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
    """Orders to engines."""

    async def send(
        self, target: Target, order: EngineOrder, fencing: int, timeout: timedelta
    ) -> OrderAcknowledged | OrderRefused | OrderUnacknowledged:
        """Send an order once and wait for its acknowledgement."""


class RatePeers(Protocol):
    """Messages about the weight store's rate to other entry instances."""

    async def take(self, owner: Member, count: int) -> int:
        """Return how many loads the owner grants; 0 when it does not answer."""
