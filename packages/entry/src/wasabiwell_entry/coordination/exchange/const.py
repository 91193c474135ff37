"""Intervals, timeouts and fleet-size thresholds of the exchange between entry instances."""

from datetime import timedelta

STATE_INTERVAL = timedelta(milliseconds=500)
"""Time between two states sent to a peer in a small fleet, or to a monitor in a large one."""
LARGE_FLEET_INSTANCES = 32
"""Number of peers from which an instance has only a few monitors, and placements on a single target
are sent within the zone only. Receiving a message takes 0.1 ms, and each instance receives messages
from all others: in a profile of 100 instances, each got 346 per second when all went to all."""
MONITORS = 5
"""Monitors of each instance in a large fleet; the report of one of them suffices. With three zones,
all five are in the zone of the monitored instance in 1 of 240 cases. Monitors that fail together
with it are replaced once they are reported themselves."""
NON_MONITOR_STATES_PER_SECOND = 10.0
"""Total rate of the states sent to all peers that are not monitors, regardless of the fleet size.
These states only repeat what individual messages have already reported."""
MAX_NON_MONITOR_STATE_INTERVAL = timedelta(seconds=15)
"""Three states in a row may be lost before the peer is removed after `PEER_REMOVAL_TIMEOUT`."""
REQUESTED_MONITORING_TIME = timedelta(seconds=4)
"""Time for which a peer gets frequent states after a `WatchRequest`; it may ask again afterwards.
A new instance is known to all others within 2 s, after which they mostly agree on the monitors."""
REFUTATION_INTERVAL = timedelta(milliseconds=250)
"""Minimum time between two refutations, so that the reports of all monitors of this instance are
refuted by one state to all peers."""
SERVING_CHECK_INTERVAL = timedelta(milliseconds=50)
"""Interval at which a starting instance checks whether it serves callers, until it does."""
STATE_CACHE_TTL = timedelta(milliseconds=20)
"""Time for which a built state is reused, because the tasks of the peers that are due at the same
moment run one after the other."""
SLOT_SKIP_FRACTION = 0.75
"""Phase of an interval from which the next send slot is skipped, because a state has just been
sent."""
MIN_ROUTE_FOLLOWERS = 3
"""Instances of a large fleet, over all zones, that follow the routes for the others; each zone has
at least one, so that the loss of a zone or of two instances leaves one."""
PEER_TIMEOUT_INTERVALS = 3.4
"""Send intervals without a message after which a peer counts as unreachable: three may be lost."""
MONITOR_TIMEOUT = PEER_TIMEOUT_INTERVALS * STATE_INTERVAL
"""Time without any message after which a monitored instance is reported as lost."""
PAUSE_THRESHOLD = timedelta(seconds=1)
"""Time between two sweeps from which this process is assumed to have been paused."""
KNOWN_PEERS_FRACTION = 0.5
"""A peer that reaches fewer than this fraction of the peers known here is sent all addresses."""
ADDRESS_SENDERS = 3
"""Instances of a large fleet, beside those that starting ones contact first, that send a new peer
the addresses of all others."""
ISOLATED_LISTING_TIMEOUT = timedelta(seconds=20)
"""If no peer is reachable, callers still get the peers whose last message is not older than this.

This instance is then probably the one that is isolated, while the others go on serving.
"""
SETTLING_TIME = timedelta(seconds=2)
"""Time after the start of this process in which it may not know most of the others yet. Until then
it sends them no lists of targets: hundreds of instances that start together would all take
themselves for the first one by address."""
LISTING_SENDERS = 3
"""Number of instances, the first by address, that send the list of targets to a peer without one.
The peer also reads the list itself."""
PEER_REMOVAL_TIMEOUT = timedelta(seconds=60)
"""Time without any message after which a peer is removed and gets no more states."""
SWEEP_INTERVAL = timedelta(milliseconds=250)
"""Time between two checks for peers that have timed out."""
REGISTERED_INSTANCES = 5
"""Number of instances, the first by address, that register their address in the platform's store.
A starting instance finds all others through any of them, or through a seed."""
REGISTER_DELAY = timedelta(milliseconds=400)
"""Time to find peers through the seeds before the store is read; calls to it cost money."""
REGISTER_INTERVAL = timedelta(seconds=5)
"""Time between two checks whether this instance has to register or has no peers."""
REGISTER_RETRY_INTERVAL = timedelta(seconds=2)
"""Time between two attempts while the platform's store is unavailable."""
CALL_REPORT_AGE = timedelta(milliseconds=100)
"""Age at which a call of a plain service is reported in a large fleet. User calls take 20 to 45 ms,
so most would have ended before peers read a message about them."""
PACE_SAMPLE_FEATURES = 1
"""Value of `NodeState.features` from which a peer understands `PaceSample`. Instances of an older
build log and drop it, so it is sent only when all peers understand it."""
MIN_ZONE_TARGETS = 8
"""Targets of a service that each zone needs for zone-local placement, so that long prompts find
enough of them. Less than the 13 per zone in the smaller of the large fleets, as some may be
unavailable."""
