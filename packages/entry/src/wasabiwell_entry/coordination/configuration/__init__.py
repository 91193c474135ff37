"""Configuration versions."""

from wasabiwell_entry.coordination.configuration.coordinator import ConfigurationCoordinator

__all__ = ["ConfigurationCoordinator"]
