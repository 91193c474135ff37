"""Constants of address answers."""

from datetime import timedelta

DEFAULT_ADDRESS_TTL = timedelta(seconds=10)
"""Time for which callers keep an answer; a leaving instance serves at least that long."""
