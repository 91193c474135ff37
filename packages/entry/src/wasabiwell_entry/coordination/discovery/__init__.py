"""Tracks the platform's list of targets and the routes that operators configure."""

from wasabiwell_entry.coordination.discovery.routes import RouteDiscovery
from wasabiwell_entry.coordination.discovery.targets import TargetDiscovery

__all__ = ["RouteDiscovery", "TargetDiscovery"]
