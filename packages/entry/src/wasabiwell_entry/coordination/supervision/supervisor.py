"""Keeps the background tasks of an entry instance running."""

from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import TypeVarTuple

from wasabiwell_entry.coordination.supervision.const import (
    MAX_RESTART_PAUSE,
    MIN_RESTART_PAUSE,
    SOUND_DURATION,
)
from wasabiwell_entry.state import log_events
from wasabiwell_entry.state.clock import Clock

Arguments = TypeVarTuple("Arguments")


class Supervisor:
    """Starts a background task that fails again, so that its error does not end the process.

    A task must keep what it knows outside of its own frame, as it is called anew. Errors that
    occur while an instance is built or its listeners are bound are not handled here: an instance
    that cannot serve from the start must end, so that the platform shows it.
    """

    __slots__ = ("_clock", "_observe_failure")

    def __init__(
        self, clock: Clock, observe_failure: Callable[[str], None] = lambda name: None
    ) -> None:
        """Pass the name of each task that fails to `observe_failure`."""
        self._clock = clock
        self._observe_failure = observe_failure

    async def run(
        self,
        name: str,
        task: Callable[[*Arguments], Awaitable[None]],
        *arguments: *Arguments,
    ) -> None:
        """Run a task until it returns; after an error start it again, with a growing pause.

        Cancellation passes through, and so do errors that are no `Exception`.
        """
        pause = MIN_RESTART_PAUSE
        while True:
            started_at = self._clock.monotonic()
            failure = await self._call(name, task, *arguments)
            if failure is None:
                return
            if self._clock.monotonic() - started_at >= SOUND_DURATION:
                pause = MIN_RESTART_PAUSE
            self._report(name, arguments, failure, pause)
            await self._clock.sleep(pause)
            pause = min(pause * 2, MAX_RESTART_PAUSE)

    async def run_once(
        self,
        name: str,
        task: Callable[[*Arguments], Awaitable[None]],
        *arguments: *Arguments,
    ) -> None:
        """Run a task that is not repeated after an error, such as one call to a target."""
        failure = await self._call(name, task, *arguments)
        if failure is not None:
            self._report(name, arguments, failure, None)

    async def _call(
        self,
        name: str,
        task: Callable[[*Arguments], Awaitable[None]],
        *arguments: *Arguments,
    ) -> Exception | None:
        """Run a task and return its error, or None when it returns."""
        try:
            await task(*arguments)
        except Exception as error:
            return error
        except BaseExceptionGroup as group:
            # A nursery that is cancelled while one of its tasks fails raises both.
            failures, others = group.split(Exception)
            if failures is None or others is None:
                raise
            self._report(name, arguments, failures, None)
            raise others from None
        return None

    def _report(
        self,
        name: str,
        arguments: tuple[object, ...],
        error: Exception,
        pause: timedelta | None,
    ) -> None:
        subject = " ".join(item for item in arguments if isinstance(item, str))
        log_events.emit(
            log_events.BACKGROUND_TASK_FAILED,
            task=f"{name} {subject}".rstrip(),
            error=repr(error),
            pause_ms=None if pause is None else round(pause / timedelta(milliseconds=1)),
        )
        self._observe_failure(name)
