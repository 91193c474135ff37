"""Admits requests to targets."""

from wasabiwell_entry.coordination.admission.coordinator import AdmissionCoordinator

__all__ = ["AdmissionCoordinator"]
