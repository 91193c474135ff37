"""What reservations need of the other layers."""

from typing import Protocol

from wasabiwell_entry.coordination.reservations.errors import ReservationRefused, Reserved
from wasabiwell_entry.state.targets import Target


class ReservationPort(Protocol):
    """Memory reservations at engines."""

    async def reserve(
        self, target: Target, owner: str, tokens: int
    ) -> Reserved | ReservationRefused:
        """Reserve memory for `tokens` tokens of KV cache; it expires when it is not used."""

    async def renew(self, target: Target, reservation_id: str) -> None:
        """Start the lifetime of a reservation anew; an unknown one is ignored."""

    async def release(self, target: Target, reservation_id: str) -> None:
        """Give a reservation back; an unknown one is ignored."""
