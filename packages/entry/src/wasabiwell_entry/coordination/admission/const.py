"""Queue limits, ageing thresholds and timeouts of admission control."""

from datetime import timedelta

from wasabiwell_entry.state.sizes import SizeClass

PRIORITIES = {SizeClass.SHORT: 0, SizeClass.MEDIUM: 1, SizeClass.LONG: 2}
"""Scheduling priority that is passed to engines, by size class; lower runs first."""
LONG_SLOT_SHARE = 0.25
"""Fraction of an engine's slots that long prompts may occupy; always at least one slot."""
NO_TARGET_RETRY_AFTER = timedelta(seconds=1)
MAX_QUEUED = 256
"""Maximum number of queued requests per organisation and service; further ones are refused."""
AGEING_THRESHOLDS = {SizeClass.MEDIUM: timedelta(seconds=2), SizeClass.LONG: timedelta(seconds=5)}
"""Queueing time after which medium and long requests take precedence over short ones."""
SCAN_LIMIT = 8
"""Maximum number of requests per size class that may fail to get capacity in one pass."""
RATE_WINDOW = timedelta(seconds=5)
"""Sliding window over which the grant rate is measured to estimate waiting times."""
MIN_RATE_WINDOW = timedelta(seconds=1)
"""A grant rate measured over less time than this is not used to refuse requests."""
MIN_RETRY_AFTER = timedelta(seconds=1)
RELEASE_TIMEOUT = timedelta(seconds=1)
"""Timeout for releasing reservations; unreleased ones expire at the engine."""
