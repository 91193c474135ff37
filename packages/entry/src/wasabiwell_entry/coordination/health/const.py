"""Constants of the beliefs about targets."""

from datetime import timedelta

INITIAL_PAUSE = timedelta(milliseconds=600)
"""A lost target gets no request for this long; engines that crash are back after seconds."""
MAX_PAUSE = timedelta(seconds=3)
"""The pause doubles with each further loss up to this."""
FAILURE_HALF_LIFE = timedelta(seconds=3)
"""Time in which observed failures lose half of their weight: failing targets recover in seconds."""
PRIOR_ANSWERS = 3.0
"""Answers that are assumed of each target, so that one failure does not condemn it."""
