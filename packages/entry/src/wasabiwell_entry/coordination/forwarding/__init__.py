"""Forwards callers' requests to targets: attempts, retries, resumption and time limits."""

from wasabiwell_entry.coordination.forwarding.coordinator import Forwarder

__all__ = ["Forwarder"]
