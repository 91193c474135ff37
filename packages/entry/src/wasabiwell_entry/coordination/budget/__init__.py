"""Retry budget: limits the retries of all entry instances combined."""

from wasabiwell_entry.coordination.budget.coordinator import RetryBudget

__all__ = ["RetryBudget"]
