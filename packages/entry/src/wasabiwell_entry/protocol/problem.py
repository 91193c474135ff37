"""Error responses to callers."""

from dataclasses import dataclass

import msgspec

from wasabiwell_entry.state.outcomes import Failed, Finding, Reason, Refused, RunState

RUN_HEADER = b"wasabiwell-run"

STATUS_BY_REASON = {
    Reason.INVALID_REQUEST: 400,
    Reason.MISSING_IDEMPOTENCY_KEY: 400,
    Reason.UNAUTHENTICATED: 401,
    Reason.FORBIDDEN: 403,
    Reason.UNKNOWN_ROUTE: 404,
    Reason.UNKNOWN_SERVICE: 404,
    Reason.NOT_FOUND: 404,
    Reason.BODY_TIMEOUT: 408,
    Reason.HEADER_TIMEOUT: 408,
    Reason.STILL_RUNNING: 409,
    Reason.RESULT_UNKNOWN: 409,
    Reason.CONFLICT: 409,
    Reason.BODY_TOO_LARGE: 413,
    Reason.PROMPT_TOO_LONG: 413,
    Reason.IDEMPOTENCY_KEY_REUSED: 422,
    Reason.QUARANTINED: 422,
    Reason.RATE_LIMITED: 429,
    Reason.QUEUE_FULL: 429,
    Reason.DEADLINE_UNREACHABLE: 429,
    Reason.HEADER_TOO_LARGE: 431,
    Reason.INTERNAL: 500,
    Reason.TARGET_FAILED: 502,
    Reason.NO_TARGET: 503,
    Reason.NO_CAPACITY: 503,
    Reason.NOT_READY: 503,
    Reason.STORE_UNAVAILABLE: 503,
    Reason.RESULT_UNAVAILABLE: 503,
    Reason.DEADLINE_EXCEEDED: 504,
}


@dataclass(frozen=True, slots=True)
class ErrorBody:
    """The `error` object of a failed request; `findings` list the errors in the request."""

    type: str
    code: str
    message: str
    run: str
    findings: list[Finding]


@dataclass(frozen=True, slots=True)
class Problem:
    """Error response to a caller."""

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes


def error_body(outcome: Refused | Failed) -> ErrorBody:
    """Return the `error` object for an outcome."""
    status = STATUS_BY_REASON[outcome.reason]
    match outcome:
        case Refused(findings=findings):
            run = RunState.NOT_RUN
        case Failed(run=run):
            findings = ()
    kind = "invalid_request_error" if status < 500 and status != 429 else "server_error"
    if status == 429:
        kind = "rate_limit_error"
    return ErrorBody(kind, outcome.reason.value, outcome.message, run.value, list(findings))


def problem(outcome: Refused | Failed) -> Problem:
    """Return the error response for an outcome."""
    error = error_body(outcome)
    headers = [(b"content-type", b"application/json"), (RUN_HEADER, error.run.encode())]
    if outcome.retry_after is not None:
        seconds = max(1, round(outcome.retry_after.total_seconds()))
        headers.append((b"retry-after", str(seconds).encode()))
    body = msgspec.json.encode({"error": error})
    return Problem(STATUS_BY_REASON[outcome.reason], headers, body)
