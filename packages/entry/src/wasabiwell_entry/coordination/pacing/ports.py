"""Interfaces that pacing requires from other capabilities."""

from typing import Protocol

from wasabiwell_entry.coordination.pacing.cold_limit import Hearing
from wasabiwell_entry.state.targets import Target


class HearingPort(Protocol):
    """Knowledge about the messages that reach this entry instance."""

    def hearing(self, target: Target, reported: bool) -> Hearing:
        """Return what this instance learns of the placements that others make on a target.

        `reported` is False for calls of plain services, which large fleets do not report.
        """
