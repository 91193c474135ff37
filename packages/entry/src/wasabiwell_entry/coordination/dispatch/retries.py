"""Limit on the retries of one entry instance."""

from wasabiwell_entry.coordination.dispatch.const import MAX_SAVED_RETRIES, RETRY_RATIO


class RetryRatioLimiter:
    """Limits the retries of this entry instance to a share of its first attempts."""

    __slots__ = ("_available",)

    def __init__(self) -> None:
        self._available = MAX_SAVED_RETRIES

    def count_first_attempt(self) -> None:
        """Add the share of a retry that each first attempt allows."""
        self._available = min(MAX_SAVED_RETRIES, self._available + RETRY_RATIO)

    def take(self) -> bool:
        """Use one retry; return False when none is left."""
        if self._available < 1.0:
            return False
        self._available -= 1.0
        return True
