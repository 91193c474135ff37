"""Counters of one entry instance, shown in the operators' status and as metrics."""

import bisect
from collections import Counter
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class RequestKind:
    """Labels of the request counter.

    `kind` is generate or call, and `outcome` a failure code or `ok`. `run` is whether the
    request was executed: not-run, unknown or ran.
    """

    kind: str
    outcome: str
    run: str


@dataclass(slots=True)
class Counters:
    """Counters since the start of the process."""

    requests: Counter[RequestKind] = field(default_factory=Counter)
    store_calls: Counter[tuple[str, str]] = field(default_factory=Counter)
    """Calls to the table service by operation and outcome."""
    retries: int = 0
    tokens_relayed: int = 0
    open_streams: int = 0


@dataclass(slots=True)
class ControlTraffic:
    """Messages between entry instances and their encoded bytes, without HTTP/2 frames."""

    sent_messages: int = 0
    sent_bytes: int = 0
    received_messages: int = 0
    received_bytes: int = 0


FIRST_EVENT_BOUNDS = (0.05, 0.1, 0.15, 0.2, 0.3, 0.5, 0.75, 1.0, 1.5, 2.0, 3.0, 5.0, 10.0)
"""Histogram bounds in seconds; they include the latency objectives of the users' routes."""
EVENT_GAP_BOUNDS = (0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.5, 3.0)
"""Histogram bounds in seconds; they include the event gaps that the users' routes allow."""


@dataclass(slots=True)
class Histogram:
    """Counts of observed values by bucket; the last bucket is for values above all bounds."""

    bounds: tuple[float, ...]
    counts: list[int] = field(default_factory=list)
    total: float = 0.0

    def observe(self, value: float) -> None:
        """Add a value to its bucket and to the total."""
        if not self.counts:
            self.counts = [0] * (len(self.bounds) + 1)
        self.counts[bisect.bisect_left(self.bounds, value)] += 1
        self.total += value


@dataclass(frozen=True, slots=True)
class ForwardKind:
    """Labels of the counter of forwarded requests; `reason` is empty for successful ones."""

    kind: str
    outcome: str
    reason: str


@dataclass(slots=True)
class ForwardCounters:
    """Counters of forwarded requests since the start of the process; times are in seconds."""

    requests: Counter[ForwardKind] = field(default_factory=Counter)
    sends: Counter[str] = field(default_factory=Counter)
    """Attempts on targets by the verdict on the target."""
    relays: Counter[str] = field(default_factory=Counter)
    """Attempts through peers, while cut off from all targets, by result."""
    lost_helpers: int = 0
    """Helpers that a lead has reported as unreachable."""
    callers_left: int = 0
    failed_connections: int = 0
    """Connections of callers that have ended with an error of their own."""
    failed_notices: Counter[str] = field(default_factory=Counter)
    """Datagrams that could not be decoded (`unreadable`) or applied (`failed`)."""
    failed_tasks: Counter[str] = field(default_factory=Counter)
    """Errors that ended a background task, which was started again, by task."""
    first_event: dict[str, Histogram] = field(default_factory=dict)
    """Time from a request to its first event or its response, by size class."""
    event_gap: dict[str, Histogram] = field(default_factory=dict)
    """Time between the events of a stream, by size class."""
    store_calls: Counter[tuple[str, str]] = field(default_factory=Counter)
    """Calls to the platform's store by operation and result."""

    def observe_first(self, size: str, seconds: float) -> None:
        """Record the time to a first event."""
        self.first_event.setdefault(size, Histogram(FIRST_EVENT_BOUNDS)).observe(seconds)

    def observe_gap(self, size: str, seconds: float) -> None:
        """Record the time between two events."""
        self.event_gap.setdefault(size, Histogram(EVENT_GAP_BOUNDS)).observe(seconds)
