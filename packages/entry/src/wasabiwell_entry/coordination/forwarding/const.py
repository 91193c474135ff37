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
EVENT_PATIENCE = timedelta(milliseconds=700)
"""A stream that pauses longer than this beyond the allowed pause makes its target be probed."""
