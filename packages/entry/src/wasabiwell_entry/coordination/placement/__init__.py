"""Places requests on targets by what they would delay and by when they would be answered."""

from wasabiwell_entry.coordination.placement.coordinator import Placer

__all__ = ["Placer"]
