"""Constants of forwarding requests."""

from datetime import timedelta

MAX_SENDS = 6
"""Targets tried for one request, those included that were not reached or refused."""
SERVER_ERROR = 500
"""Statuses from here on are failures of the target, which another one may not have."""
MAX_HELD_BYTES = 1024 * 1024
"""An answer that is not a stream is held back up to this size, so that it can be repeated."""
REFUSED_RETRY_AFTER = timedelta(milliseconds=300)
"""Time after which targets that refused are likely to take requests again."""
MIN_TIME_LEFT = timedelta(milliseconds=5)
"""A request with less time left is not sent any more."""
REPEAT_SHARE = 0.4
"""Part of its time left after which a repeatable request without an answer is sent elsewhere."""
OBJECTIVES_BEFORE_REPEAT = 3.0
"""A repeatable request is given at least this many times its objective on one target."""
EXPECTED_BEFORE_REPEAT = 3.0
"""A stream is given at least this many times the predicted time to its first event."""
EVENT_PATIENCE = timedelta(milliseconds=1_000)
"""Time beyond the allowed and the predicted pause after which a stream is resumed elsewhere;
callers leave after two seconds without an event."""
PROBE_PATIENCE = timedelta(milliseconds=400)
"""A target that is silent for this long beyond the allowed pause is asked for a sign of life."""
