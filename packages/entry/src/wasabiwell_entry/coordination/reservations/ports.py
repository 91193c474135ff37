"""Interfaces that reservations require from other layers."""

from typing import Protocol

from wasabiwell_entry.coordination.reservations.errors import ReservationRefused, Reserved
from wasabiwell_entry.state.targets import Target


class ReservationPort(Protocol):
    """Calls to engines that manage memory reservations."""

    async def reserve(
        self, target: Target, owner: str, tokens: int
    ) -> Reserved | ReservationRefused:
        """Reserve KV cache memory for `tokens` tokens; unused reservations expire."""

    async def renew(self, target: Target, reservation_id: str) -> None:
        """Restart the lifetime of a reservation; an unknown one is ignored."""

    async def release(self, target: Target, reservation_id: str) -> None:
        """Release a reservation; an unknown one is ignored."""
