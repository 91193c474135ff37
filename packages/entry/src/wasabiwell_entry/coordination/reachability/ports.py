"""Interface that reachability requires from other layers."""

from typing import Protocol

from wasabiwell_entry.state.probes import ProbeOutcome
from wasabiwell_entry.state.targets import Target


class ProbePort(Protocol):
    """Probes of targets."""

    async def probe(self, target: Target) -> ProbeOutcome:
        """Check with a new connection whether a target still runs."""
