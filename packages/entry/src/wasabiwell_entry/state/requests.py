"""Requests of callers and the frames of their responses."""

from dataclasses import dataclass, field
from datetime import timedelta

from wasabiwell_entry.state.sizes import SizeClass, size_class


@dataclass(frozen=True, slots=True)
class GenerateRequest:
    """A prompt to be completed by an engine.

    `messages` is the caller's JSON array in its encoded form. `prompt_tokens` is estimated from its
    length. `received` and `deadline` are monotonic times of this entry. `prefix_hashes` has one
    hash for each leading block of the prompt, which also covers all blocks before it.
    """

    request_id: str
    organisation: str
    service: str
    messages: bytes = field(repr=False)
    prompt_tokens: int
    max_tokens: int
    fingerprint: str
    received: timedelta
    deadline: timedelta
    prefix_hashes: tuple[int, ...] = ()

    @property
    def size(self) -> SizeClass:
        """Return the size class of the prompt."""
        return size_class(self.prompt_tokens)

    @property
    def memory_tokens(self) -> int:
        """Return the KV cache that the complete request needs, in tokens."""
        return self.prompt_tokens + self.max_tokens


@dataclass(frozen=True, slots=True)
class ServiceCall:
    """A call to a plain service; `path` starts with a slash and includes the query."""

    request_id: str
    organisation: str
    service: str
    method: str
    path: str
    content_type: str
    body: bytes = field(repr=False)
    fingerprint: str
    received: timedelta
    deadline: timedelta
    idempotent: bool
    idempotency_key: str | None = None


@dataclass(frozen=True, slots=True)
class TokenFrame:
    """`count` consecutive tokens, the first at index `offset` of the whole response."""

    offset: int
    count: int
    text: str


@dataclass(frozen=True, slots=True)
class EndFrame:
    """Last frame of a response, with its number of tokens.

    `digest` is the hexadecimal XXH3-64 of the UTF-8 text of the whole response.
    """

    tokens: int
    digest: str
    finish_reason: str


@dataclass(frozen=True, slots=True)
class StreamInterrupted:
    """The stream ended before its end frame.

    `refused` is set when the engine proved that it has not started the request. `target_lost` is
    set when the target cut the connection or none could be made: the target may have crashed.
    `silent` is set when the connection carried no data although the target was alive.
    """

    reason: str
    refused: bool = False
    target_lost: bool = False
    silent: bool = False


StreamItem = TokenFrame | EndFrame | StreamInterrupted


@dataclass(frozen=True, slots=True)
class Shard:
    """KV cache reserved on a further engine for a prompt larger than one engine's memory."""

    target_id: str
    address: str
    reservation_id: str
    tokens: int


@dataclass(frozen=True, slots=True)
class Attempt:
    """One attempt to run a request on an engine, resumed after `resume_offset` tokens.

    `generated` is the text of the tokens before `resume_offset`.
    """

    attempt_id: str
    request: GenerateRequest
    priority: int
    resume_offset: int = 0
    generated: str = field(default="", repr=False)
    reservation_id: str = ""
    shards: tuple[Shard, ...] = ()
