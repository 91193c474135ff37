"""Requests that are forwarded unchanged to targets, and what comes back of them."""

from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta

from wasabiwell_entry.state.routes import Route
from wasabiwell_entry.state.targets import Target

Headers = tuple[tuple[bytes, bytes], ...]


@dataclass(frozen=True, slots=True)
class PromptSize:
    """Tokens of a prompt and of its output; `expected_output` is the caller's estimate."""

    prompt: int
    max_output: int
    expected_output: int

    @property
    def total(self) -> int:
        """Return the most tokens that the request can hold in memory."""
        return self.prompt + self.max_output


@dataclass(frozen=True, slots=True)
class ForwardedRequest:
    """A caller's request to a route.

    `target_path` includes the query. `headers` are those that go to the target as they came.
    `received` and `deadline` are monotonic times; the deadline is the earlier one of the caller's
    and the route's. `routes_version` is that of the routes by which it was accepted. `size` is
    None for requests of plain services. `last_event_id` is that of a stream which the caller
    resumes.
    """

    request_id: str
    route: Route
    service: str
    organisation: str | None
    method: str
    target_path: str
    headers: Headers = field(repr=False)
    body: bytes = field(repr=False)
    fingerprint: str
    received: timedelta
    deadline: timedelta
    routes_version: int = 0
    size: PromptSize | None = None
    last_event_id: int | None = None


@dataclass(frozen=True, slots=True)
class Helper:
    """A further engine that reads a part of a prompt.

    It holds `kv_tokens` of the prompt in memory that is reserved there under `reservation_id`.
    """

    target: Target
    kv_tokens: int = 0
    reservation_id: str = ""


@dataclass(frozen=True, slots=True)
class ForwardAttempt:
    """One send of a request to a target.

    `urgency` orders requests that wait at an engine, 0 first. `time_left` is how long the target
    may work. `silence_timeout` returns how long it may be silent now; after each `probe_interval` of
    silence it is asked for a sign of life. `resume_after` is the id of the last event that the
    caller has.
    """

    request: ForwardedRequest
    target: Target
    helpers: tuple[Helper, ...]
    urgency: int
    time_left: timedelta
    silence_timeout: Callable[[], timedelta]
    probe_interval: timedelta
    resume_after: int | None = None


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Status and headers of a target's answer; `verified` tells that it bears a signature."""

    status: int
    headers: Headers
    verified: bool


@dataclass(frozen=True, slots=True)
class ResponseChunk:
    """Bytes of the body of an answer that is not a stream of events."""

    data: bytes = field(repr=False)


@dataclass(frozen=True, slots=True)
class ResponseEvent:
    """A whole event of a stream, with its framing; comments have no id."""

    event_id: int | None
    data: bytes = field(repr=False)


@dataclass(frozen=True, slots=True)
class ResponseEnd:
    """The body is complete."""


@dataclass(frozen=True, slots=True)
class NotSent:
    """Nothing of the request was sent, as no connection could be made.

    `silent` tells that the target did not react at all, so it may be cut off.
    """

    reason: str
    silent: bool = False


@dataclass(frozen=True, slots=True)
class NotRun:
    """The target proved that it has not run the request.

    `replaced` tells that another target has its address. `at_fault` is the address of another
    target that caused the refusal.
    """

    reason: str
    replaced: bool = False
    at_fault: str | None = None


@dataclass(frozen=True, slots=True)
class ResponseInterrupted:
    """The request was sent and has no whole answer, so it may have run.

    `target_lost` tells that the connection was cut or went silent, so the target may have died.
    """

    reason: str
    target_lost: bool = False


ResponseItem = ResponseHead | ResponseChunk | ResponseEvent | ResponseEnd
AttemptItem = ResponseItem | NotSent | NotRun | ResponseInterrupted


@dataclass(frozen=True, slots=True)
class Forwarded:
    """The whole answer of a target was delivered to the sink."""

    status: int
