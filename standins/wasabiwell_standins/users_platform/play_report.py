"""Result of a play of versions under faults."""

from collections import Counter
from dataclasses import dataclass, field

import trio


@dataclass(slots=True)
class PlayReport:
    """Result of one seed: injected faults by kind, and findings by instance."""

    seed: int
    versions: int = 0
    faults: Counter[str] = field(default_factory=Counter)
    timeline: list[str] = field(default_factory=list)
    findings: list[str] = field(default_factory=list)
    probes: Counter[str] = field(default_factory=Counter)

    def record(self, text: str) -> None:
        """Add a line to the timeline."""
        self.timeline.append(f"{trio.current_time():10.3f} {text}")

    def add_finding(self, text: str) -> None:
        """Add a failed check."""
        self.findings.append(text)
        self.record(f"finding: {text}")
