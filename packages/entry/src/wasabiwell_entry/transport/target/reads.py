"""Reads of one stream that another task can interrupt."""

from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import TypeVar

import trio

from wasabiwell_entry.state.clock import Clock
from wasabiwell_entry.state.requests import StreamInterrupted

T = TypeVar("T")


class StreamReads:
    """Reads one after the other; `begun` is None while the caller, not the target, is slow."""

    __slots__ = ("_broken", "_clock", "_scope", "begun", "count")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._scope: trio.CancelScope | None = None
        self._broken = StreamInterrupted("the read was interrupted")
        self.begun: timedelta | None = None
        self.count = 0

    async def read(self, operation: Callable[[], Awaitable[T]]) -> T | StreamInterrupted:
        """Run a read and return its result, or why it was interrupted."""
        with trio.CancelScope() as scope:
            self._scope = scope
            self.begun = self._clock.monotonic()
            try:
                result = await operation()
                self.count += 1
                return result
            finally:
                self._scope = self.begun = None
        return self._broken

    def interrupt(self, broken: StreamInterrupted) -> None:
        """Interrupt the read in progress, if there is one."""
        if self._scope is not None:
            self._broken = broken
            self._scope.cancel()
