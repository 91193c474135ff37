"""Admission control: assigns requests to targets with free capacity."""

from wasabiwell_entry.coordination.admission.coordinator import AdmissionCoordinator

__all__ = ["AdmissionCoordinator"]
