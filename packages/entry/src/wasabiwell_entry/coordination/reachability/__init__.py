"""Finds out whether this instance reaches the targets, and which peers do."""

from wasabiwell_entry.coordination.reachability.coordinator import TargetReachability
from wasabiwell_entry.coordination.reachability.peers import RelayPeers
from wasabiwell_entry.coordination.reachability.prober import ReachabilityProber

__all__ = ["ReachabilityProber", "RelayPeers", "TargetReachability"]
