"""State of a request over its attempts."""

from dataclasses import dataclass, field

from wasabiwell_entry.coordination.forwarding.errors import Buffered
from wasabiwell_entry.state.forwarding import ResponseHead


@dataclass(slots=True)
class Progress:
    """State of a request over its attempts.

    `sends` counts all attempts, `runs` those that may have run on a target. `arrived` is set once
    a target has refused it. `excluded` are the ids of targets on which it failed, `peers` the
    addresses of peers that were tried. `last_event` is the id of the last event that the caller
    has. `buffered` is a response that is delivered unless a retry gets a better one. `head` is the
    head that was delivered to the caller.
    """

    excluded: set[str] = field(default_factory=set)
    peers: set[str] = field(default_factory=set)
    sends: int = 0
    runs: int = 0
    arrived: bool = False
    head: ResponseHead | None = None
    last_event: int | None = None
    buffered: Buffered | None = None
    reason: str = "the deadline has passed"

    @property
    def response_started(self) -> bool:
        """Return whether a part of the response was delivered to the caller."""
        return self.head is not None
