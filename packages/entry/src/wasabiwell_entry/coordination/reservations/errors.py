"""Outcomes of reserving engine memory."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ReservationRefused:
    """An engine does not have enough free memory, or did not respond.

    `uncertain` is set if it did not respond, so that it may hold the reservation until it expires.
    """

    reason: str
    uncertain: bool = False


@dataclass(frozen=True, slots=True)
class Reserved:
    """Memory is reserved under this id until it is released or expires."""

    reservation_id: str
