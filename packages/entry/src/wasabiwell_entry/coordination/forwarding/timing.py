"""Times that bound an attempt to forward a request."""

from datetime import timedelta

from wasabiwell_entry.coordination.forwarding.const import (
    MIN_EXPECTED_BEFORE_RETRY,
    MIN_OBJECTIVES_BEFORE_RETRY,
    PROBE_MARGIN,
    RETRY_TIME_SHARE,
)
from wasabiwell_entry.state.forwarding import ForwardedRequest
from wasabiwell_entry.state.routes import RouteKind


def response_start_timeout(
    request: ForwardedRequest, left: timedelta, expected: timedelta, retryable: bool
) -> timedelta:
    """Return how long a target may be silent before its response begins.

    `left` is the time until the deadline, and `expected` the predicted time to the first event.
    """
    if not retryable:
        return left
    minimum = max(
        request.route.objective * MIN_OBJECTIVES_BEFORE_RETRY,
        expected * MIN_EXPECTED_BEFORE_RETRY,
    )
    return min(left, max(minimum, left * RETRY_TIME_SHARE))


def probe_interval(request: ForwardedRequest) -> timedelta:
    """Return the time without data after which the remote host is probed."""
    route = request.route
    allowed_silence = route.event_gap if route.kind is RouteKind.STREAM else route.objective
    return allowed_silence + PROBE_MARGIN
