"""Limits of attempts, buffers and waiting times when requests are forwarded."""

from datetime import timedelta

MAX_SENDS = 6
"""Targets tried for one request, including those that could not be reached or refused it."""
SERVER_ERROR = 500
"""Lowest status that counts as a failure of the target, so that another one may be tried."""
MAX_BUFFERED_BYTES = 1024 * 1024
"""Responses that are not streams are buffered up to this size, so that requests can be retried."""
REFUSED_RETRY_AFTER = timedelta(milliseconds=300)
"""Time after which targets that refused a request are likely to take requests again."""
MIN_TIME_LEFT = timedelta(milliseconds=5)
"""Requests with less time until their deadline are not retried."""
RETRY_TIME_SHARE = 0.4
"""Share of the time left after which a retryable request without a response is sent elsewhere."""
MIN_OBJECTIVES_BEFORE_RETRY = 3.0
"""Minimum time for one target to begin its response before a retry, as a multiple of the route's
objective."""
MIN_EXPECTED_BEFORE_RETRY = 3.0
"""The same minimum as a multiple of the predicted time to the first event."""
MAX_PEERS = 3
"""Peers tried for one request of an instance that is cut off from all targets. They do not know for
a moment that they are cut off themselves; more refusals mean that the service has no capacity."""
PEER_MARGIN = timedelta(milliseconds=500)
"""Further time for a response through a peer to begin, as the peer may fail to reach a target."""
PEER_PAUSE = timedelta(milliseconds=500)
"""Further pause that is allowed in a stream through a peer."""
EVENT_GAP_MARGIN = timedelta(milliseconds=1_000)
"""Time beyond the allowed and the predicted pause after which a stream is resumed elsewhere;
callers disconnect after two seconds without an event."""
PROBE_MARGIN = timedelta(milliseconds=400)
"""Silence beyond the allowed pause after which a target is probed."""
MAX_EVENTS_BEFORE_CRASH = 1
"""Events that a request can have sent when it crashes its target. Such a request crashes its target
on its first token, which may already be sent; a stream with more events is not the cause."""
