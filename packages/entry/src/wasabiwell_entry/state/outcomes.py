"""Outcomes of requests: the result for the caller, and whether the request was executed."""

import enum
from dataclasses import dataclass, field
from datetime import timedelta


class RunState(enum.Enum):
    """Whether a request was executed, as far as this can be proved."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    RAN = "ran"


class Reason(enum.Enum):
    """Error codes, as callers see them in `error.code`."""

    INVALID_REQUEST = "invalid_request"
    BODY_TOO_LARGE = "body_too_large"
    BODY_TIMEOUT = "body_timeout"
    HEADER_TOO_LARGE = "header_too_large"
    HEADER_TIMEOUT = "header_timeout"
    UNAUTHENTICATED = "unauthenticated"
    UNKNOWN_ROUTE = "unknown_route"
    NOT_FOUND = "not_found"
    UNKNOWN_SERVICE = "unknown_service"
    FORBIDDEN = "forbidden"
    MISSING_IDEMPOTENCY_KEY = "missing_idempotency_key"
    IDEMPOTENCY_KEY_REUSED = "idempotency_key_reused"
    PROMPT_TOO_LONG = "prompt_too_long"
    RATE_LIMITED = "rate_limited"
    QUEUE_FULL = "queue_full"
    DEADLINE_UNREACHABLE = "deadline_unreachable"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    NO_TARGET = "no_target"
    NO_CAPACITY = "no_capacity"
    STORE_UNAVAILABLE = "store_unavailable"
    STILL_RUNNING = "still_running"
    RESULT_UNKNOWN = "result_unknown"
    RESULT_UNAVAILABLE = "result_unavailable"
    QUARANTINED = "quarantined"
    TARGET_FAILED = "target_failed"
    NOT_READY = "not_ready"
    CONFLICT = "conflict"
    INTERNAL = "internal"


@dataclass(frozen=True, slots=True)
class Finding:
    """One error in an input, with its place (a JSON path, a header or a flag)."""

    place: str
    message: str


@dataclass(frozen=True, slots=True)
class Refused:
    """The request was rejected and provably not executed.

    `arrived` is set if it reached a target, which refused it.
    """

    reason: Reason
    message: str
    retry_after: timedelta | None = None
    findings: tuple[Finding, ...] = ()
    arrived: bool = False


@dataclass(frozen=True, slots=True)
class Failed:
    """The request was sent to a target but has no complete response."""

    reason: Reason
    message: str
    run: RunState
    retry_after: timedelta | None = None


@dataclass(frozen=True, slots=True)
class Finished:
    """The complete response was delivered to the sink; `tokens` is its number of tokens."""

    tokens: int
    finish_reason: str


@dataclass(frozen=True, slots=True)
class ServiceResponse:
    """Complete response of a plain service; `replayed` is set when it comes from a run record."""

    status: int
    content_type: str
    body: bytes = field(repr=False)
    replayed: bool = False


GenerateOutcome = Finished | Refused | Failed
CallOutcome = ServiceResponse | Refused | Failed
