"""State of a request over its attempts."""

from dataclasses import dataclass, field

from wasabiwell_entry.coordination.forwarding.errors import Buffered


@dataclass(slots=True)
class Progress:
    """State of a request over its attempts.

    `sends` counts all attempts, `runs` those that may have run on a target. `last_event` is the id
    of the last event that the caller has. `buffered` is a response that is delivered unless a retry
    gets a better one. `response_started` means that a part of the response was delivered to the
    caller.
    """

    excluded: set[str] = field(default_factory=set)
    sends: int = 0
    runs: int = 0
    response_started: bool = False
    last_event: int | None = None
    buffered: Buffered | None = None
    reason: str = "the deadline has passed"
