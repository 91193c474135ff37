"""Messages between an entry instance and an engine."""

from dataclasses import dataclass, field

import msgspec

from wasabiwell_entry.state.requests import (
    Attempt,
    EndFrame,
    StreamInterrupted,
    StreamItem,
    TokenFrame,
)


@dataclass(frozen=True, slots=True)
class ShardBody:
    """KV cache reserved on a further engine."""

    engine: str
    address: str
    reservation_id: str
    tokens: int


@dataclass(frozen=True, slots=True)
class GenerateBody:
    """Body of `POST /v1/generate`."""

    attempt_id: str
    messages: msgspec.Raw
    max_tokens: int
    priority: int
    resume_offset: int
    generated: str
    reservation_id: str
    shards: list[ShardBody]


@dataclass(frozen=True, slots=True)
class FrameBody:
    """One line of the response; the last line has `end` set."""

    attempt: str
    offset: int = 0
    count: int = 0
    text: str = ""
    end: bool = False
    tokens: int = 0
    digest: str = ""
    finish_reason: str = ""
    error: str = ""


@dataclass(frozen=True, slots=True)
class LoadBody:
    """Response of `GET /load`; memory is in tokens of KV cache."""

    slots: int
    running: int
    queued: int
    total_tokens: int
    free_tokens: int
    prefill_tokens: int = 0
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class CacheEventBody:
    """One change of an engine's prefix cache; `kind` is `stored` or `evicted`."""

    seq: int
    kind: str
    block: int


@dataclass(frozen=True, slots=True)
class CacheEventsBody:
    """Response of `GET /cache-events`; the sequence numbers of events can have gaps."""

    events: list[CacheEventBody]
    last: int


@dataclass(frozen=True, slots=True)
class ReservationBody:
    """Body of `POST /v1/reservations`."""

    owner: str
    tokens: int
    ttl_s: float


@dataclass(frozen=True, slots=True)
class RenewalBody:
    """Body of `PUT /v1/reservations/{id}`."""

    ttl_s: float


@dataclass(frozen=True, slots=True)
class ReservationReply:
    """Response of `POST /v1/reservations`."""

    reservation_id: str


@dataclass(frozen=True, slots=True)
class EngineError:
    """Error body of an engine that refuses a request, which it then has not started."""

    error: str = field(default="")


_FRAME_DECODER = msgspec.json.Decoder(FrameBody)


def encode_attempt(attempt: Attempt) -> bytes:
    """Return the body of `POST /v1/generate`."""
    shards = [
        ShardBody(shard.target_id, shard.address, shard.reservation_id, shard.tokens)
        for shard in attempt.shards
    ]
    return msgspec.json.encode(
        GenerateBody(
            attempt_id=attempt.attempt_id,
            messages=msgspec.Raw(attempt.request.messages),
            max_tokens=attempt.request.max_tokens,
            priority=attempt.priority,
            resume_offset=attempt.resume_offset,
            generated=attempt.generated,
            reservation_id=attempt.reservation_id,
            shards=shards,
        )
    )


MAX_FRAME_BYTES = 1024 * 1024
"""A longer line is taken for bytes that are no frame; a frame has a few tokens."""


class FrameReader:
    """Splits an engine's response into items and drops frames of other attempts."""

    __slots__ = ("_attempt_id", "_incomplete_line")

    def __init__(self, attempt_id: str) -> None:
        self._attempt_id = attempt_id
        self._incomplete_line = b""

    def feed(self, data: bytes) -> list[StreamItem]:
        """Return the items that `data` completes; consecutive token frames are merged."""
        *lines, self._incomplete_line = (self._incomplete_line + data).split(b"\n")
        items: list[StreamItem] = []
        for line in lines:
            if line:
                self._append(items, line)
        if len(self._incomplete_line) > MAX_FRAME_BYTES:
            items.append(StreamInterrupted(f"a frame has more than {MAX_FRAME_BYTES} bytes"))
        return items

    def _append(self, items: list[StreamItem], line: bytes) -> None:
        try:
            frame = _FRAME_DECODER.decode(line)
        except (msgspec.DecodeError, RecursionError) as error:
            items.append(StreamInterrupted(f"the engine sent a malformed frame: {error}"))
            return
        if frame.attempt != self._attempt_id:
            return
        item = _item(frame)
        merged = _merge(items[-1], item) if items else None
        if merged is None:
            items.append(item)
        else:
            items[-1] = merged


def _item(frame: FrameBody) -> StreamItem:
    if frame.error:
        return StreamInterrupted(f"the engine reported: {frame.error}")
    if frame.end:
        return EndFrame(frame.tokens, frame.digest, frame.finish_reason)
    return TokenFrame(frame.offset, frame.count, frame.text)


def _merge(first: StreamItem, second: StreamItem) -> TokenFrame | None:
    """Return one frame for two frames of consecutive tokens, or None for other items."""
    if not isinstance(first, TokenFrame) or not isinstance(second, TokenFrame):
        return None
    if first.offset + first.count != second.offset:
        return None
    return TokenFrame(first.offset, first.count + second.count, first.text + second.text)
