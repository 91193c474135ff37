"""Constants of the exchange between entry instances."""

from datetime import timedelta

STATE_INTERVAL = timedelta(milliseconds=500)
"""Time between the states that are sent to a peer."""
PEERS_AT_STATE_INTERVAL = 50
"""With more peers the interval grows, so that an instance sends about 100 states a second."""
MAX_STATE_INTERVAL = timedelta(milliseconds=1_200)
"""Callers that are sent to a dead instance wait a second for it, so it has to be found soon."""
SHARED_STATE_TIME = timedelta(milliseconds=20)
"""Time for which one state is sent to all peers, whose tasks run one after the other."""
LATEST_MOMENT = 0.75
"""Part of an interval after which the next moment to send is left out, as one has just been."""
SILENT_INTERVALS = 3.4
"""A peer that was not heard for this many intervals is taken as gone: three may be lost."""
LISTED_TIMEOUT = timedelta(seconds=20)
"""When no peer at all is heard, those heard within this time are still told to callers.

This instance is then probably the one that is cut off, and the others go on serving.
"""
LISTING_SENDERS = 3
"""Instances, the first in the order of addresses, that send the list of targets to a peer that
knows none; it also reads the list itself."""
FORGET_TIMEOUT = timedelta(seconds=60)
"""A peer that was not heard for this long is not sent to any more."""
SWEEP_INTERVAL = timedelta(milliseconds=250)
"""Time between looks for silent peers."""
REGISTERED_INSTANCES = 5
"""Instances, the first in the order of addresses, whose address is in the platform's store. One
that starts finds all others through any of them, or through a seed."""
REGISTER_DELAY = timedelta(milliseconds=400)
"""Time to hear peers through the seeds before the store is asked; calls to it are priced."""
REGISTER_INTERVAL = timedelta(seconds=5)
"""Time between looks whether this instance has to be entered, or hears nobody."""
REGISTER_RETRY_INTERVAL = timedelta(seconds=2)
"""Time between tries to enter this instance in the platform's store while that is away."""
CELL_INSTANCES = 32
"""With more instances, placements on one target are told in the own zone only. Each of 100
instances got 346 messages a second without this in a profile, states included."""
CELL_TARGETS = 12
"""Targets that each zone needs for this, so that long prompts find enough targets in one zone."""
