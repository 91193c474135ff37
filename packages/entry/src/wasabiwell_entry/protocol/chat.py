"""Chat completion interface for callers: request body, response body and stream events."""

from dataclasses import dataclass, field
from typing import Any

import msgspec
import xxhash

from wasabiwell_entry.protocol.problem import error_body
from wasabiwell_entry.state.outcomes import Failed, Finding, Reason, Refused
from wasabiwell_entry.state.requests import TokenFrame

BYTES_PER_TOKEN = 4
DEFAULT_MAX_TOKENS = 256
MAX_TOKENS_LIMIT = 32_768
PREFIX_BLOCK_BYTES = 4_096
MAX_PREFIX_BLOCKS = 64
DONE_EVENT = b"data: [DONE]\n\n"
KEEP_ALIVE_EVENT = b": keep-alive\n\n"


@dataclass(frozen=True, slots=True)
class ChatMessage:
    """One message of a prompt; its content is not decoded."""

    role: str
    content: msgspec.Raw


@dataclass(frozen=True, slots=True)
class ChatBody:
    """Body of `POST /v1/chat/completions`; `messages` is kept as encoded JSON."""

    model: str
    messages: bytes = field(repr=False)
    max_tokens: int
    stream: bool

    @property
    def prompt_tokens(self) -> int:
        """Return the estimated number of tokens of the prompt."""
        return max(1, len(self.messages) // BYTES_PER_TOKEN)


def parse_chat(body: bytes) -> ChatBody | Refused:
    """Return the parsed body, or a refusal with all findings.

    The content of messages is not decoded.
    """
    try:
        body.decode()
        fields = msgspec.json.decode(body, type=dict[str, msgspec.Raw])
    except (UnicodeDecodeError, msgspec.DecodeError, RecursionError) as error:
        return _invalid([Finding("$", str(error))])
    findings: list[Finding] = []
    model = _field(fields, "model", str, None, findings)
    stream = _field(fields, "stream", bool, False, findings)
    max_tokens = _field(fields, "max_tokens", int, DEFAULT_MAX_TOKENS, findings)
    messages = _field(fields, "messages", list[ChatMessage], None, findings)
    if isinstance(max_tokens, int) and not 1 <= max_tokens <= MAX_TOKENS_LIMIT:
        findings.append(Finding("$.max_tokens", f"must be from 1 to {MAX_TOKENS_LIMIT}"))
    if messages is not None and not messages:
        findings.append(Finding("$.messages", "must not be empty"))
    if findings or model is None or stream is None or max_tokens is None:
        return _invalid(findings)
    return ChatBody(model, bytes(fields["messages"]), max_tokens, stream)


def prefix_hashes(messages: bytes) -> tuple[int, ...]:
    """Return one hash for each leading block of a prompt; it also covers all blocks before it."""
    digest = xxhash.xxh3_64()
    hashes = []
    blocks = min(len(messages) // PREFIX_BLOCK_BYTES, MAX_PREFIX_BLOCKS)
    for index in range(blocks):
        start = index * PREFIX_BLOCK_BYTES
        digest.update(messages[start : start + PREFIX_BLOCK_BYTES])
        hashes.append(digest.intdigest())
    return tuple(hashes)


class ChatEncoder:
    """Encoder of the response to one request."""

    __slots__ = ("_created", "_id", "_model", "_prefix")

    def __init__(self, request_id: str, model: str, created: int) -> None:
        self._id = f"chatcmpl-{request_id}"
        self._model = model
        self._created = created
        head = self._head("chat.completion.chunk")
        self._prefix = (
            b"data: "
            + msgspec.json.encode(head)[:-1]
            + b',"choices":[{"index":0,"delta":{"content":'
        )

    def token_event(self, frame: TokenFrame) -> bytes:
        """Return the stream event of a frame."""
        return self._prefix + msgspec.json.encode(frame.text) + b'},"finish_reason":null}]}\n\n'

    def end_event(self, finish_reason: str, prompt_tokens: int, tokens: int) -> bytes:
        """Return the last events of a complete response."""
        body = self._head("chat.completion.chunk")
        body["choices"] = [{"index": 0, "delta": {}, "finish_reason": finish_reason}]
        body["usage"] = _usage(prompt_tokens, tokens)
        return b"data: " + msgspec.json.encode(body) + b"\n\n" + DONE_EVENT

    def error_event(self, outcome: Refused | Failed) -> bytes:
        """Return the event for a failure after the response has begun."""
        return b"data: " + msgspec.json.encode({"error": error_body(outcome)}) + b"\n\n"

    def completion(self, text: str, finish_reason: str, prompt_tokens: int, tokens: int) -> bytes:
        """Return the body of a complete response that is not streamed."""
        body = self._head("chat.completion")
        message = {"role": "assistant", "content": text}
        body["choices"] = [{"index": 0, "message": message, "finish_reason": finish_reason}]
        body["usage"] = _usage(prompt_tokens, tokens)
        return msgspec.json.encode(body)

    def _head(self, kind: str) -> dict[str, Any]:
        return {"id": self._id, "object": kind, "created": self._created, "model": self._model}


def _usage(prompt_tokens: int, tokens: int) -> dict[str, int]:
    return {
        "prompt_tokens": prompt_tokens,
        "completion_tokens": tokens,
        "total_tokens": prompt_tokens + tokens,
    }


def _field(
    fields: dict[str, msgspec.Raw],
    name: str,
    expected: Any,
    default: Any,
    findings: list[Finding],
) -> Any:
    if name not in fields:
        if default is None:
            findings.append(Finding(f"$.{name}", "is required"))
        return default
    try:
        return msgspec.json.decode(fields[name], type=expected)
    except msgspec.ValidationError as error:
        message, _, path = str(error).partition(" - at `$")
        findings.append(Finding(f"$.{name}{path.rstrip('`')}", message))
        return None


def _invalid(findings: list[Finding]) -> Refused:
    return Refused(Reason.INVALID_REQUEST, "the request is not valid", findings=tuple(findings))
