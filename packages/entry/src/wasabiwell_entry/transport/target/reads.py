"""Reads of a stream that another task can interrupt."""

from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import TypeVar

import trio

from wasabiwell_entry.state.clock import Clock
from wasabiwell_entry.state.requests import StreamInterrupted

T = TypeVar("T")


class InterruptibleReads:
    """Sequential reads of one stream.

    `started_at` is None when no read is in progress, so the time in which a slow caller delays the
    next read does not count as silence of the target.
    """

    __slots__ = ("_cancel_scope", "_clock", "_interruption", "completed", "started_at")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._cancel_scope: trio.CancelScope | None = None
        self._interruption = StreamInterrupted("the read was interrupted")
        self.started_at: timedelta | None = None
        self.completed = 0

    async def read(self, operation: Callable[[], Awaitable[T]]) -> T | StreamInterrupted:
        """Run a read and return its result, or the interruption."""
        with trio.CancelScope() as scope:
            self._cancel_scope = scope
            self.started_at = self._clock.monotonic()
            try:
                result = await operation()
                self.completed += 1
                return result
            finally:
                self._cancel_scope = self.started_at = None
        return self._interruption

    def interrupt(self, interruption: StreamInterrupted) -> None:
        """Interrupt the read in progress, if there is one."""
        if self._cancel_scope is not None:
            self._interruption = interruption
            self._cancel_scope.cancel()
