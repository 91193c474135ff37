"""Versioned configuration that all entry instances share."""

from wasabiwell_entry.coordination.configuration.coordinator import ConfigurationCoordinator

__all__ = ["ConfigurationCoordinator"]
