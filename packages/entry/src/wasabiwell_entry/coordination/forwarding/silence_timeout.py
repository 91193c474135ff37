"""Time for which a target may be silent before its attempt is cancelled."""

from collections.abc import Callable
from datetime import timedelta

from wasabiwell_entry.coordination.forwarding.const import EVENT_GAP_MARGIN
from wasabiwell_entry.state.routes import Route


class SilenceTimeout:
    """Allows one time until the response begins, and another between the events of a stream.

    If no other attempt could continue the stream, a pause is no reason to end it: it may last as
    long as the caller waits, which is `left` at the start of the attempt.

    `expected_pause` returns the predicted pause in seconds: prefill of other requests delays the
    next event, and a target that is busy with it does not count as silent.
    """

    __slots__ = ("_begun", "_expected_pause", "_first", "_gap", "_left", "_retryable")

    def __init__(
        self,
        route: Route,
        first: timedelta,
        expected_pause: Callable[[], float],
        left: timedelta,
        retryable: bool,
    ) -> None:
        self._first = first
        self._left = left
        self._retryable = retryable
        self._gap = route.event_gap
        self._expected_pause = expected_pause
        self._begun = False

    def begin(self) -> None:
        """Record that the response has begun."""
        self._begun = True

    def current(self) -> timedelta:
        """Return the time for which the target may be silent now."""
        if not self._begun:
            return self._first
        if not self._retryable:
            return self._left
        return self._gap + EVENT_GAP_MARGIN + timedelta(seconds=self._expected_pause())
