"""Constants of admission."""

from datetime import timedelta

from wasabiwell_entry.state.sizes import SizeClass

PRIORITIES = {SizeClass.SHORT: 0, SizeClass.MEDIUM: 1, SizeClass.LONG: 2}
"""Priority that engines honour, by size class; a lower number goes first."""
LONG_SLOT_SHARE = 0.25
"""Share of one engine's slots that long prompts may use, at least one slot."""
NO_TARGET_RETRY_AFTER = timedelta(seconds=1)
MAX_QUEUED = 256
"""Requests of one organisation that wait for one service; more are refused."""
AGEING_THRESHOLDS = {SizeClass.MEDIUM: timedelta(seconds=2), SizeClass.LONG: timedelta(seconds=5)}
"""After this wait a medium or long request goes before short ones."""
SCAN_LIMIT = 8
"""Requests of a class that are tried in one pass when those before them find no capacity."""
RATE_WINDOW = timedelta(seconds=5)
"""Past over which the rate of grants is measured for the estimate of waits."""
MIN_RATE_WINDOW = timedelta(seconds=1)
"""A rate measured over less time than this is not used to refuse requests."""
MIN_RETRY_AFTER = timedelta(seconds=1)
RELEASE_TIMEOUT = timedelta(seconds=1)
"""Time for giving reservations back; what is not given back expires at the engine."""
