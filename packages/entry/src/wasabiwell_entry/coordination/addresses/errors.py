"""Outcomes of an address query."""

from dataclasses import dataclass
from datetime import timedelta


@dataclass(frozen=True, slots=True)
class AddressList:
    """Addresses of entry instances, nearest first, and how long to keep them."""

    addresses: tuple[str, ...]
    ttl: timedelta
