"""Engine capacity, shared between entry instances by credits.

A credit is a lease of capacity that the owner of an engine grants to a holder.
"""

from wasabiwell_entry.coordination.credits.coordinator import CreditHolder
from wasabiwell_entry.coordination.credits.owner import CreditOwner
from wasabiwell_entry.coordination.credits.owners import EngineOwners

__all__ = ["CreditHolder", "CreditOwner", "EngineOwners"]
