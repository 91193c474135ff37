"""Bounds the repeated sends of all entry instances together."""

from wasabiwell_entry.coordination.budget.coordinator import RepeatBudget

__all__ = ["RepeatBudget"]
