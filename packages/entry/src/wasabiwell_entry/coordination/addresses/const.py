"""How long callers may use an address list."""

from datetime import timedelta

DEFAULT_ADDRESS_TTL = timedelta(seconds=10)
"""Time for which callers cache an address list; a leaving instance serves at least that long."""
