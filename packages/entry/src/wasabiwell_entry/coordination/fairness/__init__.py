"""Shares capacity fairly between organisations while a service is short of it."""

from wasabiwell_entry.coordination.fairness.coordinator import FairSharing

__all__ = ["FairSharing"]
