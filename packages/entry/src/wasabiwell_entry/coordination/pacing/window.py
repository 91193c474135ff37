"""Estimates how many requests a recovering target sustains concurrently.

The window grows with responses in time: by 1 until the first late one, as the target may have its
full speed, and by 1/window after that, as the load is then close to what it sustains. Times are
monotonic seconds.
"""

import enum
from dataclasses import dataclass, field
from math import inf

from wasabiwell_entry.coordination.pacing.const import (
    IN_TIME_FACTOR,
    IN_TIME_MARGIN_SECONDS,
    INITIAL_WINDOW,
    LATE_FACTOR,
    MAX_SAMPLE_AGE_SECONDS,
    SETTLING_SECONDS,
    UNUSED_WINDOW_SHARE,
)
from wasabiwell_entry.state import log_events
from wasabiwell_entry.state.targets import Target, TargetProcess


class RecoveryCause(enum.Enum):
    """Why a target is recovering."""

    NEW_PROCESS = "it is a new process"
    COLD = "it is cold"
    LOST = "it was lost"
    ZONE_RETURNED = "its zone has returned to service"


def in_time(seconds: float, predicted: float) -> bool:
    """Return whether a first event has arrived as predicted."""
    return seconds <= IN_TIME_FACTOR * predicted + IN_TIME_MARGIN_SECONDS


@dataclass(slots=True)
class Recovery:
    """A recovering target; `window` is the number of requests that may be there concurrently.

    `changed_at` is when the window last changed, `reduced_at` when it was last reduced.
    """

    process: TargetProcess
    cause: RecoveryCause
    began_at: float
    sampled_at: float
    window: float = INITIAL_WINDOW
    changed_at: float = -inf
    reduced_at: float = -inf
    in_time: int = 0
    late: int = 0
    setbacks: int = 0


@dataclass(slots=True)
class ConcurrencyWindows:
    """The recovering targets of one entry instance, by target id."""

    _recoveries: dict[str, Recovery] = field(default_factory=dict)

    def __len__(self) -> int:
        return len(self._recoveries)

    def ids(self) -> set[str]:
        """Return the ids of the recovering targets."""
        return set(self._recoveries)

    def begin(self, target: Target, cause: RecoveryCause, now: float) -> None:
        """Begin the recovery of a target, or begin again if it is recovering."""
        known = self._recoveries.get(target.target_id)
        if known is not None and known.process == target.process:
            self.set_back(target.target_id, now)
            return
        self._recoveries[target.target_id] = Recovery(target.process, cause, now, now)
        log_events.emit(log_events.RECOVERY_BEGAN, target=target.target_id, cause=cause.value)

    def window(self, target: Target, now: float) -> float | None:
        """Return the window of a target, or None if it is in steady state."""
        recovery = self._recoveries.get(target.target_id)
        if recovery is None or recovery.process != target.process:
            return None
        if now - recovery.sampled_at >= MAX_SAMPLE_AGE_SECONDS:
            self._end(recovery, "there was no sample", now)
            return None
        return recovery.window

    def record_sample(self, process: TargetProcess, on_time: bool, slots: int, now: float) -> None:
        """Record whether a response of a recovering target was in time; others are ignored."""
        recovery = self._recoveries.get(process.target_id)
        if recovery is None or recovery.process != process:
            return
        if on_time or recovery.window > INITIAL_WINDOW:
            # A target that is late with one request at a time tells nothing more, and would get no
            # other one for as long as it is.
            recovery.sampled_at = now
        if not on_time:
            recovery.late += 1
            recovery.window = max(INITIAL_WINDOW, recovery.window * LATE_FACTOR)
            recovery.changed_at = recovery.reduced_at = now
            return
        recovery.in_time += 1
        if recovery.window < slots:
            growth = 1.0 if recovery.late == 0 else 1.0 / recovery.window
            recovery.window = min(float(slots), recovery.window + growth)
            recovery.changed_at = now
        elif now - recovery.changed_at >= SETTLING_SECONDS:
            self._end(recovery, "it sustains its slots", now)

    def is_sample(
        self,
        target: Target,
        on_time: bool,
        placed_at: float,
        load: int | None,
        slots: int,
        now: float,
    ) -> bool:
        """Return whether a response says something about the window of a recovering target.

        One in time has to come from a request that was placed since the window last changed, while
        most of it was used: otherwise the requests that were placed at a window of 1 and 2 raised
        it to 8 on a target that sustained 1, before the first late response. One that is late says
        nothing new if its request was placed before the last reduction. While the window is as
        large as the slots, responses in time are no news until it has settled. `load` is None if
        this instance does not know it.
        """
        recovery = self._recoveries.get(target.target_id)
        if recovery is None or recovery.process != target.process:
            return False
        if not on_time:
            return placed_at >= recovery.reduced_at
        if recovery.window >= slots:
            return now - recovery.changed_at >= SETTLING_SECONDS
        used = load is None or load > recovery.window * UNUSED_WINDOW_SHARE
        return used and placed_at >= recovery.changed_at

    def set_back(self, target_id: str, now: float) -> None:
        """Reset the window of a recovering target that has rejected a request or was lost."""
        recovery = self._recoveries.get(target_id)
        if recovery is not None:
            recovery.window = INITIAL_WINDOW
            recovery.changed_at = recovery.reduced_at = now
            recovery.setbacks += 1
            recovery.sampled_at = now

    def cancel(self, since: float) -> None:
        """End the recoveries after losses that do not count, which began after a time."""
        for target_id, recovery in list(self._recoveries.items()):
            if recovery.cause is RecoveryCause.LOST and recovery.began_at >= since:
                del self._recoveries[target_id]

    def retain(self, processes: set[TargetProcess]) -> None:
        """Remove all recoveries except for those of these processes."""
        for target_id, recovery in list(self._recoveries.items()):
            if recovery.process not in processes:
                del self._recoveries[target_id]

    def expire(self, now: float) -> None:
        """End the recoveries without a sample for long."""
        for recovery in list(self._recoveries.values()):
            if now - recovery.sampled_at >= MAX_SAMPLE_AGE_SECONDS:
                self._end(recovery, "there was no sample", now)

    def _end(self, recovery: Recovery, reason: str, now: float) -> None:
        del self._recoveries[recovery.process.target_id]
        log_events.emit(
            log_events.RECOVERY_ENDED,
            target=recovery.process.target_id,
            reason=reason,
            after_ms=round((now - recovery.began_at) * 1000),
            in_time=recovery.in_time,
            late=recovery.late,
            setbacks=recovery.setbacks,
            window=round(recovery.window, 1),
        )
