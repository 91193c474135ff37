"""Result of an address query."""

from dataclasses import dataclass
from datetime import timedelta


@dataclass(frozen=True, slots=True)
class AddressList:
    """Addresses of entry instances, nearest first, and the time for which they may be cached."""

    addresses: tuple[str, ...]
    ttl: timedelta
