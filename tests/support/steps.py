"""Counts of the steps that tasks take."""

from collections.abc import Awaitable, Callable

import trio
import trio.testing


class StepCounter(trio.abc.Instrument):
    """Counts the steps of all tasks whose name contains `name`."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.count = 0

    def before_task_step(self, task: trio.lowlevel.Task) -> None:
        """Count a step of a task."""
        self.count += self.name in task.name


def count_steps(name: str, run: Callable[[], Awaitable[None]]) -> int:
    """Run in simulated time, and return the steps of tasks whose name contains `name`."""
    counter = StepCounter(name)
    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0), instruments=[counter])
    return counter.count
