"""Budget of retries of one entry instance."""

from wasabiwell_entry.coordination.dispatch.const import RETRY_RATIO, RETRY_RESERVE


class RetryBudget:
    """Allows retries as a share of first attempts."""

    __slots__ = ("_available",)

    def __init__(self) -> None:
        self._available = RETRY_RESERVE

    def count_first_attempt(self) -> None:
        """Add the share of a retry that a first attempt allows."""
        self._available = min(RETRY_RESERVE, self._available + RETRY_RATIO)

    def take(self) -> bool:
        """Use one retry; return False when none is left."""
        if self._available < 1.0:
            return False
        self._available -= 1.0
        return True
