"""What admission needs of the other layers."""

from typing import Protocol

from wasabiwell_entry.coordination.admission.errors import ReservationRefused, Reserved
from wasabiwell_entry.state.targets import Target


class ReservationPort(Protocol):
    """Memory reservations at engines."""

    async def reserve(
        self, target: Target, owner: str, tokens: int
    ) -> Reserved | ReservationRefused:
        """Reserve memory for `tokens` tokens of KV cache; it expires when it is not used."""

    async def release(self, target: Target, reservation_id: str) -> None:
        """Give a reservation back; an unknown one is ignored."""
