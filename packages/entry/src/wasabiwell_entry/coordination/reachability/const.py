"""When an instance counts as cut off from all targets, and when it probes them."""

from datetime import timedelta

FAILED_TARGETS = 3
"""Different targets that accept no connection, with none that does in between, after which the
instance counts as cut off. Engines crash one at a time, or with one helper."""
SUSPECTED_TARGETS = 2
"""Different targets after which losses are no longer reported to the other instances."""
FAILURE_LIFETIME = timedelta(seconds=3)
"""Time after which a failed connection is no evidence any more."""
PROBE_INTERVAL = timedelta(milliseconds=500)
"""Time between probes while the instance is cut off; a connection costs a target 1 ms."""
WITNESSES = 2
"""Further targets that are probed at once after a failed connection."""
WITNESS_ROUNDS = 2
"""Rounds of such probes before a crash is taken for a cut."""
WITNESS_INTERVAL = timedelta(seconds=1)
"""Shortest time between such probes, as each crash of a target is noticed by many instances."""
MIN_NEAR_SHARE = 0.25
"""Share of the instances of the own zone that must reach targets for requests to stay in the zone;
each of them then runs the requests of at most three others besides its own."""
