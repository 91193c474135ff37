"""Pauses of lost targets, and the decay of failure rates."""

from datetime import timedelta

INITIAL_PAUSE = timedelta(milliseconds=600)
"""Time for which a lost target gets no requests; crashed engines restart within seconds."""
MAX_PAUSE = timedelta(seconds=3)
"""Maximum pause; the pause doubles with each consecutive loss."""
FAILURE_HALF_LIFE = timedelta(seconds=3)
"""Half-life of the failure count; failing targets recover within seconds."""
MAX_REQUESTED_PAUSE = timedelta(minutes=5)
"""Longest pause that a target may ask for, so that no target is lost for good by one odd value."""
RETURN_TIME = timedelta(seconds=2)
"""Time after a requested pause within which a target gets its whole share of requests back."""
ADVICE_LIFETIME = timedelta(minutes=10)
"""Time for which departures and ended pauses are kept; leaving targets run on for seconds."""
MAX_ADVISING_TARGETS = 4_096
"""Targets whose departure is kept, and as many whose pause is; more than leave within minutes of
12,000 targets."""
DEPARTURES_PER_NOTICE = 200
"""Keeps a datagram below its largest size when the names of targets have their greatest length."""
PRIOR_SUCCESSES = 3.0
"""Successes assumed for each target, so that a single failure does not dominate its rate."""
