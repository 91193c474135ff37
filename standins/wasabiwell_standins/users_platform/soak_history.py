"""What a soak has done so far, and what it has found."""

from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import trio

from wasabiwell_standins.users_platform.reasons import Circumstances, Disruption, Reason

UNDISTURBED_SECONDS = 3.0
"""Required limits apply only if no entry process and no store had a fault for this long."""


@dataclass(slots=True)
class SoakReport:
    """Result of one seed: `timeline` lists the injected faults, `findings` the failed checks.

    `reasons` counts the attempts that were not answered with 200, by reason.
    """

    seed: int
    timeline: list[str] = field(default_factory=list)
    findings: list[str] = field(default_factory=list)
    attempts: int = 0
    answered: int = 0
    reasons: Counter[Reason] = field(default_factory=Counter)
    started_at: float = field(default_factory=trio.current_time)

    def record(self, text: str) -> None:
        """Add a line to the timeline."""
        self.timeline.append(f"{trio.current_time() - self.started_at:7.3f} {text}")

    def add_finding(self, text: str) -> None:
        """Add a failed check."""
        self.findings.append(f"{trio.current_time() - self.started_at:7.3f} {text}")


@dataclass(slots=True)
class FaultHistory:
    """Components with a fault now, past faults of entry processes and the store, and drains.

    `drained_at` has the time from which a target should get no new work, by target id.
    `circumstances` are what the check of lost requests has to know.
    """

    components: set[str] = field(default_factory=set)
    disturbances: list[tuple[float, float]] = field(default_factory=list)
    drained_at: dict[str, float] = field(default_factory=dict)
    circumstances: Circumstances = field(default_factory=Circumstances)

    @asynccontextmanager
    async def exclusive(self, name: str, planned: bool = False) -> AsyncIterator[bool]:
        """Allow one fault at a time on a component; yield whether it was acquired.

        Planned work is no disruption, which would excuse requests without an answer.
        """
        if name in self.components:
            yield False
            return
        self.components.add(name)
        started_at = trio.current_time()
        try:
            yield True
        finally:
            self.components.discard(name)
            ended_at = trio.current_time()
            if not planned:
                self.circumstances.disruptions.append(Disruption(name, started_at, ended_at))
            if "entry" in name or "store" in name:
                self.disturbances.append((started_at, ended_at))

    def is_disturbed(self, start: float, end: float) -> bool:
        """Return whether an entry process or the store had a fault around a time."""
        if any("entry" in name or "store" in name for name in self.components):
            return True
        since = start - UNDISTURBED_SECONDS
        return any(
            started_at < end and ended_at > since for started_at, ended_at in self.disturbances
        )
