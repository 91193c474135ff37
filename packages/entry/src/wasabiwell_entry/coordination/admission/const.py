"""Constants of admission."""

from datetime import timedelta

from wasabiwell_entry.state.requests import SizeClass

PRIORITIES = {SizeClass.SHORT: 0, SizeClass.MEDIUM: 1, SizeClass.LONG: 2}
"""Priority that engines honour, by size class; a lower number goes first."""
ENGINE_MEMORY_SHARE = 0.7
"""Share of one engine's memory that long prompts may use; the rest is kept for short ones."""
CAPACITY_WAIT = timedelta(milliseconds=250)
"""A waiting request looks at all engines again after this long without a change."""
NO_TARGET_RETRY_AFTER = timedelta(seconds=1)
