"""Requests that are forwarded unchanged to targets, and the responses of the targets."""

from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta

from wasabiwell_entry.state.routes import Route
from wasabiwell_entry.state.targets import Target

Headers = tuple[tuple[bytes, bytes], ...]


@dataclass(frozen=True, slots=True)
class PromptSize:
    """Size of a prompt and its output in tokens; `expected_output` is the caller's estimate."""

    prompt: int
    max_output: int
    expected_output: int

    @property
    def total(self) -> int:
        """Return the most KV cache that the request can take, in tokens."""
        return self.prompt + self.max_output


@dataclass(frozen=True, slots=True)
class ForwardedRequest:
    """A caller's request to a route.

    `target_path` includes the query. `headers` are forwarded to the target unchanged. `received`
    and `deadline` are monotonic times; the deadline is the earlier one of the caller's and the
    route's. `routes_version` is the version of the routes that accepted it. `size` is None for
    requests of plain services. `last_event_id` is set when the caller resumes a stream.
    `prompt_parts` are the ids of the parts of the prompt that it may share with other requests, in
    their order in the prompt. `authorization` is the value of the caller's header, which only peers
    get. `relayed_by` is the control address of the peer that relayed the request, or None.
    `priority` is that of the caller's organisation, or else of the route; 0 is the highest.
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
    prompt_parts: tuple[str, ...] = ()
    authorization: bytes = field(default=b"", repr=False)
    relayed_by: str | None = None
    priority: int = 0


@dataclass(frozen=True, slots=True)
class Helper:
    """A further engine that prefills a segment of a prompt.

    It keeps the KV cache of `kv_tokens` of the prompt in memory reserved under `reservation_id`.
    """

    target: Target
    kv_tokens: int = 0
    reservation_id: str = ""


@dataclass(frozen=True, slots=True)
class ForwardAttempt:
    """One attempt to run a request on a target.

    `urgency` orders the queue of an engine, 0 first. `time_left` is the time limit for the target.
    `silence_timeout` returns the current silence timeout; after each `probe_interval` without data
    the target's health is probed. `resume_after` is the id of the last event that the caller
    received. `can_continue_elsewhere` returns whether another target would take over now; while
    none would, a silent target is waited for.
    """

    request: ForwardedRequest
    target: Target
    helpers: tuple[Helper, ...]
    urgency: int
    time_left: timedelta
    silence_timeout: Callable[[], timedelta]
    probe_interval: timedelta
    resume_after: int | None = None
    can_continue_elsewhere: Callable[[], bool] = lambda: True


@dataclass(frozen=True, slots=True)
class RelayPeer:
    """Another entry instance, by its datagram address, that relays requests to targets."""

    address: str
    control_address: str
    zone: str


@dataclass(frozen=True, slots=True)
class PeerAttempt:
    """One attempt to run a request through a peer, which runs it on one target at most.

    The other fields are as in `ForwardAttempt`.
    """

    request: ForwardedRequest
    peer: RelayPeer
    time_left: timedelta
    silence_timeout: Callable[[], timedelta]
    probe_interval: timedelta
    resume_after: int | None
    can_continue_elsewhere: Callable[[], bool]


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Status and headers of a target's response; `verified` is set when it is signed."""

    status: int
    headers: Headers
    verified: bool


@dataclass(frozen=True, slots=True)
class ResponseChunk:
    """Bytes of the body of a response that is not an event stream."""

    data: bytes = field(repr=False)


@dataclass(frozen=True, slots=True)
class ResponseEvent:
    """A complete event of a stream, with its framing; comments have no id."""

    event_id: int | None
    data: bytes = field(repr=False)

    @property
    def has_data(self) -> bool:
        """Return whether it has more than comments, which only keep the connection open."""
        return any(line and not line.startswith(b":") for line in self.data.split(b"\n"))


@dataclass(frozen=True, slots=True)
class ResponseEnd:
    """End of the response: the body is complete."""


@dataclass(frozen=True, slots=True)
class NotSent:
    """Nothing of the request was sent, because no connection could be made.

    `silent` is set when the target did not react at all: it may be cut off from the network.
    """

    reason: str
    silent: bool = False


@dataclass(frozen=True, slots=True)
class NotRun:
    """The target proved that it has not run the request.

    `replaced` is set when another target now uses its address. `at_fault` is the address of
    another target that caused the refusal.
    """

    reason: str
    replaced: bool = False
    at_fault: str | None = None


@dataclass(frozen=True, slots=True)
class ResponseInterrupted:
    """The request was sent but has no complete response, so it may have run.

    `target_lost` is set when the target closed or reset the connection, or went silent: it may have
    crashed.
    """

    reason: str
    target_lost: bool = False


ResponseItem = ResponseHead | ResponseChunk | ResponseEvent | ResponseEnd
AttemptItem = ResponseItem | NotSent | NotRun | ResponseInterrupted


@dataclass(frozen=True, slots=True)
class Forwarded:
    """The complete response of a target was delivered to the sink."""

    status: int
