"""Record of the runs that targets saw and the statuses that callers received."""

from collections import defaultdict
from dataclasses import dataclass, field

from wasabiwell_standins.users_platform.attempts import Attempt


@dataclass(slots=True)
class Run:
    """One run of a request on a target; times are `trio.current_time()` values.

    `helpers` are the ids of the targets that share its prefill.
    """

    request_id: str
    target_id: str
    service: str
    tenant: str
    path: str
    started_at: float
    ended_at: float | None = None
    resumed_after: int | None = None
    helpers: tuple[str, ...] = ()


@dataclass(slots=True)
class Ledger:
    """Runs and response statuses by request id.

    `at_most_once` holds requests that may not run twice, `sent` all requests that callers sent.
    `attempts` are the attempts of callers that have ended. `detected_violations` are violated
    guarantees that a caller or a target noticed itself.
    """

    runs: dict[str, list[Run]] = field(default_factory=lambda: defaultdict(list))
    statuses: dict[str, int] = field(default_factory=dict)
    at_most_once: set[str] = field(default_factory=set)
    sent: set[str] = field(default_factory=set)
    attempts: list[Attempt] = field(default_factory=list)
    detected_violations: list[str] = field(default_factory=list)

    def violations(self) -> list[str]:
        """Return a description of each violated guarantee."""
        found = list(self.detected_violations)
        for request_id, runs in self.runs.items():
            where = ", ".join(run.target_id for run in runs)
            if request_id not in self.sent:
                found.append(f"{request_id} ran on {where}, but no caller sent it")
            if request_id in self.at_most_once and len(runs) > 1:
                found.append(f"{request_id} ran {len(runs)} times, on {where}")
            if request_id in self.at_most_once and self.statuses.get(request_id) in (429, 503):
                found.append(f"{request_id} was rejected as not executed, but ran on {where}")
        return found
