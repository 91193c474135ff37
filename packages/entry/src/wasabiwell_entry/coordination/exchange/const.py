"""Constants of the exchange between entry instances."""

from datetime import timedelta

STATE_INTERVAL = timedelta(milliseconds=500)
"""Time between the states that are sent to a peer."""
LARGE_FLEET_INSTANCES = 32
"""With more instances, a few watch each one, and placements on one target are told in the own zone
only. A message costs its receiver 0.1 ms and instances are sent some by each of the others: 100 of
them got 346 a second in a profile when all was told to all."""
MONITORS = 5
"""Instances that watch one in a large fleet. The report of one suffices. All are in the zone of the
watched one in 1 of 240 cases, with three zones; those that die with it are replaced as they are
reported."""
FAR_STATES_PER_SECOND = 10.0
"""States that an instance sends to those that do not watch it, whatever the size of the fleet. They
repeat what single messages have told."""
MAX_FAR_STATE_INTERVAL = timedelta(seconds=15)
"""Three states may be lost before an instance is forgotten."""
REQUESTED_WATCH_TIME = timedelta(seconds=4)
"""Time for which an instance that asks for frequent states gets them; if it still lacks them, it
asks again. Instances learn of each other within 2 s, and mostly agree on who watches whom then."""
ANSWER_LOSS_INTERVAL = timedelta(milliseconds=250)
"""An instance that is reported as silent tells its state to all, once for all of its monitors."""
SHARED_STATE_TIME = timedelta(milliseconds=20)
"""Time for which one state is sent to all peers, whose tasks run one after the other."""
LATEST_MOMENT = 0.75
"""Part of an interval after which the next moment to send is left out, as one has just been."""
SILENT_INTERVALS = 3.4
"""A peer that was not heard for this many intervals is taken as gone: three may be lost."""
WATCH_SILENCE = SILENT_INTERVALS * STATE_INTERVAL
"""An instance that is watched is reported after this time without any message."""
PAUSED_SWEEP = timedelta(seconds=1)
"""An instance whose looks for silent peers are this far apart was paused itself."""
KNOWN_PEERS_SHARE = 0.5
"""A peer that hears fewer than this share of what is heard here is sent all addresses."""
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
CALL_TELL_AGE = timedelta(milliseconds=100)
"""Time for which a call of a plain service has run before it is told in a large fleet. The users'
calls take 20 to 45 ms; a message on one of them would be read when it has mostly ended."""
CELL_TARGETS = 8
"""Targets that each zone needs for this, so that long prompts find enough targets in one zone. Less
than the 13 that a zone of the smaller large fleet has, as some of them may be away."""
