"""Constants of choosing a target."""

from datetime import timedelta

LOST_TARGET_PAUSE = timedelta(seconds=2)
"""A target that was lost gets no request for this long."""
REMOTE_ZONE_PENALTY = 0.5
"""Outstanding requests that a target in another zone counts more."""
