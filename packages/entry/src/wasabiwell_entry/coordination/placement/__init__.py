"""Places requests on targets by their predicted latency and the delay of other requests."""

from wasabiwell_entry.coordination.placement.coordinator import Placer

__all__ = ["Placer"]
