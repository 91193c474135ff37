"""Retry budget of one entry instance."""

from wasabiwell_entry.coordination.dispatch.const import MAX_RETRY_BUDGET, RETRY_RATIO


class RetryBudget:
    """Limits retries to a share of the first attempts."""

    __slots__ = ("_available",)

    def __init__(self) -> None:
        self._available = MAX_RETRY_BUDGET

    def count_first_attempt(self) -> None:
        """Add the share of a retry that each first attempt allows."""
        self._available = min(MAX_RETRY_BUDGET, self._available + RETRY_RATIO)

    def take(self) -> bool:
        """Use one retry; return False when none is left."""
        if self._available < 1.0:
            return False
        self._available -= 1.0
        return True
