"""Outcomes of reserving memory on engines."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ReservationRefused:
    """An engine has not enough free memory now.

    `uncertain` tells that it did not answer, so it may still reserve the memory for a while.
    """

    reason: str
    uncertain: bool = False


@dataclass(frozen=True, slots=True)
class Reserved:
    """Memory is held under this id until it is released or expires."""

    reservation_id: str
