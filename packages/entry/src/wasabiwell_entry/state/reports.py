"""Status reports of an entry instance for operators and metrics; durations are in seconds."""

from dataclasses import dataclass, field
from datetime import datetime

STATUS_PREFIX = "status "


def without_target_text(reason: str) -> str:
    """Return a reason without the text that a target sent, because it may contain a prompt."""
    return reason.partition(":")[0] if reason.startswith(STATUS_PREFIX) else reason


@dataclass(frozen=True, slots=True)
class QueueFigures:
    """Queue of the requests of one size class that wait for admission."""

    size: str
    waiting: int
    oldest_wait_s: float = 0.0


@dataclass(frozen=True, slots=True)
class CreditFigures:
    """Capacity of one engine that the entry instance has leased or, as owner, has leased out."""

    engine_id: str
    role: str
    """`holder` or `owner`."""
    slots: int
    tokens: int


@dataclass(frozen=True, slots=True)
class SuspectFigures:
    """A request that is suspected of crashing targets, identified by its fingerprint."""

    fingerprint: str
    targets: tuple[str, ...]
    quarantined: bool


@dataclass(frozen=True, slots=True)
class MemberFigures:
    """An entry instance of the deployment, as this one sees it; this one is included."""

    node_id: str
    region: str
    zone: str
    status: str
    caller_address: str


@dataclass(frozen=True, slots=True)
class TargetFigures:
    """A target, as this entry instance sees it; `owner` is empty when it is unknown."""

    target_id: str
    kind: str
    service: str
    zone: str
    leaving: bool
    lost: bool
    outstanding: int
    owner: str = ""
    running: int | None = None
    queued: int | None = None
    free_tokens: int | None = None


@dataclass(frozen=True, slots=True)
class RequestCount:
    """Number of requests with one outcome since the start of the process."""

    kind: str
    outcome: str
    run: str
    count: int


@dataclass(frozen=True, slots=True)
class StoreCallCount:
    """Number of calls to the table service with one outcome since the start of the process."""

    operation: str
    outcome: str
    count: int


@dataclass(frozen=True, slots=True)
class TrafficFigures:
    """Messages between entry instances since the start of the process."""

    sent_messages: int
    sent_bytes: int
    received_messages: int
    received_bytes: int


@dataclass(frozen=True, slots=True)
class StatusReport:
    """Status of one entry instance; a field is None when the instance lacks that component."""

    node_id: str
    region: str
    zone: str
    configuration_version: int
    ready: bool
    open_requests: int
    open_streams: int
    tokens_relayed: int
    retries: int
    requests: tuple[RequestCount, ...]
    store_calls: tuple[StoreCallCount, ...]
    control: TrafficFigures
    members: tuple[MemberFigures, ...]
    targets: tuple[TargetFigures, ...]
    queues: tuple[QueueFigures, ...] | None
    credits: tuple[CreditFigures, ...] | None
    suspects: tuple[SuspectFigures, ...] | None
    evacuated_zones: tuple[str, ...] = ()


@dataclass(slots=True)
class AttemptRecord:
    """One attempt of a request on a target; times count from the request's arrival."""

    attempt_id: str
    target_id: str
    started_s: float
    ended_s: float | None = None
    outcome: str = "running"
    reason: str = ""


@dataclass(slots=True)
class RequestRecord:
    """History of one request; it contains neither the prompt nor a key.

    `admission_wait_s` is the sum over all attempts. Times count from the request's arrival.
    """

    request_id: str
    kind: str
    organisation: str
    service: str
    size: str
    received_at: datetime
    outcome: str = "running"
    run: str = ""
    message: str = ""
    admission_wait_s: float = 0.0
    first_token_s: float | None = None
    total_s: float | None = None
    tokens: int = 0
    attempts: list[AttemptRecord] = field(default_factory=list)
