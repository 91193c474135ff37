"""Pauses of lost targets, and the decay of failure rates."""

from datetime import timedelta

INITIAL_PAUSE = timedelta(milliseconds=600)
"""Time for which a lost target gets no requests; crashed engines restart within seconds."""
MAX_PAUSE = timedelta(seconds=3)
"""Maximum pause; the pause doubles with each consecutive loss."""
FAILURE_HALF_LIFE = timedelta(seconds=3)
"""Half-life of the failure count; failing targets recover within seconds."""
PRIOR_SUCCESSES = 3.0
"""Successes assumed for each target, so that a single failure does not dominate its rate."""
