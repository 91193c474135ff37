"""Tracks when the event loop ran, to bound the time at which a signal was delivered."""

from datetime import timedelta

import trio

from wasabiwell_entry.coordination.stop.const import RUN_RECORD_INTERVAL
from wasabiwell_entry.state.clock import Clock


class EventLoopMonitor(trio.abc.Instrument):
    """Records when the event loop runs, which bounds the time at which a signal was delivered.

    A process that is paused or has no processor time handles a signal long after its delivery, of
    which the kernel tells no time.
    """

    __slots__ = ("_clock", "_earliest_delivery", "_idle", "_last_run", "_measured")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._last_run: timedelta | None = None
        self._earliest_delivery: timedelta | None = None
        self._idle = timedelta()
        self._measured = clock.monotonic()

    def before_io_wait(self, timeout: float) -> None:
        """Record the end of a pass; `trio` calls this, `timeout` is in seconds."""
        self._last_run = self._clock.monotonic()

    def after_io_wait(self, timeout: float) -> None:
        """Record the start of a pass; `trio` calls this, `timeout` is in seconds."""
        now = self._clock.monotonic()
        if self._last_run is not None:
            self._idle += now - self._last_run
        self._last_run = now

    def occupancy(self) -> float:
        """Return the part of the time since the last call in which the event loop was busy.

        The time in which a pass waited for the processor counts, too: with less of it than is
        needed, the event loop is never idle.
        """
        now = self._clock.monotonic()
        elapsed, idle = now - self._measured, self._idle
        self._measured, self._idle = now, timedelta()
        return 1.0 - min(1.0, idle / elapsed) if elapsed else 0.0

    def record_signal(self) -> None:
        """Record that a stop signal has arrived; to be called by its handler.

        The interpreter calls the handler as soon as the process runs again, before the event loop
        records a time. The task that receives the signal runs some passes later.
        """
        if self._earliest_delivery is None:
            self._earliest_delivery = self._last_run

    def earliest_delivery(self) -> timedelta:
        """Return a monotonic time that is not later than the delivery of the stop signal.

        It is at most a pass of the event loop earlier, and the present if no signal was recorded.
        """
        if self._earliest_delivery is None:
            return self._clock.monotonic()
        return self._earliest_delivery

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Record times, at an interval at least, until cancelled."""
        trio.lowlevel.add_instrument(self)
        try:
            self._last_run = self._clock.monotonic()
            task_status.started()
            while True:
                # Wakes the event loop, which records the time.
                await self._clock.sleep(RUN_RECORD_INTERVAL)
        finally:
            trio.lowlevel.remove_instrument(self)
