"""Bounds the repeated sends of all entry instances together."""

from wasabiwell_entry.coordination.budget.coordinator import RetryBudget

__all__ = ["RetryBudget"]
