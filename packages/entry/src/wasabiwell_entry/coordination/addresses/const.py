"""Constants of address answers."""

from datetime import timedelta

ADDRESS_TTL = timedelta(seconds=10)
"""Time for which callers keep an answer; a leaving instance serves at least that long."""
