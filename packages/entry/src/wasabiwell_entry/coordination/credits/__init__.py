"""Capacity of engines, shared between entry instances by credits."""

from wasabiwell_entry.coordination.credits.coordinator import CreditHolder
from wasabiwell_entry.coordination.credits.owner import CreditOwner
from wasabiwell_entry.coordination.credits.owners import EngineOwners

__all__ = ["CreditHolder", "CreditOwner", "EngineOwners"]
