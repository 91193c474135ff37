"""Log fields of attempts: the inputs of their placement, and how they ended."""

from datetime import timedelta

from wasabiwell_entry.coordination.forwarding.errors import AttemptOutcome, Buffered, Delivered
from wasabiwell_entry.coordination.placement.errors import Placement
from wasabiwell_entry.state.forwarding import (
    ForwardAttempt,
    NotRun,
    NotSent,
    ResponseInterrupted,
)
from wasabiwell_entry.state.probes import ProbeOutcome, TargetAlive, TargetDown, TargetSilent


def placement_fields(attempt: ForwardAttempt, placement: Placement) -> dict[str, object]:
    """Return the inputs and the result of a placement as log fields."""
    size = attempt.request.size
    helpers = [
        f"{helper.target.target_id}:{helper.kv_tokens}".removesuffix(":0")
        for helper in attempt.helpers
    ]
    return {
        "route": attempt.request.route.name,
        "routes": attempt.request.routes_version,
        "prompt": size.prompt if size is not None else 0,
        "helpers": " ".join(helpers),
        "expected_ms": round(placement.expected_seconds * 1000),
        "left_ms": round(attempt.time_left / timedelta(milliseconds=1)),
    }


def milliseconds(since: timedelta, until: timedelta | None) -> int | None:
    """Return the whole milliseconds between two times, or None without the second one."""
    return None if until is None else round((until - since) / timedelta(milliseconds=1))


def probe_text(outcome: ProbeOutcome | None) -> str:
    """Return the result of probing the target after a response was interrupted."""
    match outcome:
        case TargetAlive():
            return "accepts connections"
        case TargetDown():
            return "refuses connections"
        case TargetSilent():
            return "does not react"
        case None:
            return "was not probed"


def outcome_text(outcome: AttemptOutcome) -> str:
    """Return how an attempt ended."""
    match outcome:
        case Delivered(status=status):
            return f"status {status}"
        case Buffered(head=head):
            return f"status {head.status}"
        case NotSent(reason=reason):
            return f"not sent: {reason}"
        case NotRun(reason=reason, at_fault=None):
            return f"not run: {reason}"
        case NotRun(reason=reason, at_fault=at_fault):
            return f"not run: {reason}, at fault: {at_fault}"
        case ResponseInterrupted(reason=reason):
            return f"broken: {reason}"
