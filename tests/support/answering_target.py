"""Target on loopback that answers requests with scripted bytes, and a forwarder that uses it."""

import re
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass, field, replace
from datetime import timedelta
from functools import partial
from socket import SO_LINGER, SOL_SOCKET
from struct import pack

import trio
from wasabiwell_entry.coordination.forwarding.coordinator import Forwarder, ForwardOutcome
from wasabiwell_entry.state.clock import SystemClock
from wasabiwell_entry.state.routes import Route
from wasabiwell_platform.advice import AdviceReader
from wasabiwell_platform.targets import HttpTargets

from support.forwarding import PlacementFixture, RecordingSink, make_forwarded, make_forwarder

RESET_ON_CLOSE = pack("ii", 1, 0)
PAUSE_SECONDS = 0.01
"""Pause before late bytes, and before a reset, which would overtake the bytes before it."""
READ_ON_SECONDS = 5.0
CONCURRENT_CALLS = 32
END_OF_HEAD = b"\r\n\r\n"


@dataclass(frozen=True, slots=True)
class Answer:
    """Bytes that a target sends, and how it ends the connection afterwards.

    `data` may be a function of the request's head. `end` is `close`, `reset` or `keep`. `early` is
    sent as soon as the connection is accepted, `late` after a pause.
    """

    data: bytes | Callable[[bytes], bytes]
    end: str = "close"
    early: bytes = b""
    late: bytes = b""


@dataclass(frozen=True, slots=True)
class EarlyAnswer:
    """Bytes that a target sends as soon as it has the head of a request, before it reads the body.

    After `pause` in seconds, `end` is what follows: `reset`, `close` with an unread body, `read on`
    to the end of the body and close, `read on and reset`, or the same two after an end in order of
    the own direction: `end and read on`, `end and reset`.
    """

    data: bytes
    end: str
    pause: float = 0.0


@dataclass(slots=True)
class AnsweringTarget:
    """Gives the next answer to each request; the last answer is repeated.

    All targets of its forwarder have its address, so that an attempt on another target gets the
    next answer.
    """

    answers: Sequence[Answer | EarlyAnswer]
    requests: list[bytes] = field(default_factory=list)
    """Heads of the requests that were received in full, or that were answered early."""
    read_on: list[bytes] = field(default_factory=list)
    """Bytes after the heads of requests that were answered early and then read to their end."""
    ended: trio.Event = field(default_factory=trio.Event)
    """Set when the connection of an early answer has ended."""

    async def serve(self, stream: trio.SocketStream) -> None:
        """Answer the request of one connection; a probe sends none."""
        async with stream:
            answer = self.answers[min(len(self.requests), len(self.answers) - 1)]
            try:
                match answer:
                    case Answer():
                        await self._answer(stream, answer)
                    case EarlyAnswer():
                        await self._answer_early(stream, answer)
            except trio.BrokenResourceError:
                return

    async def _answer(self, stream: trio.SocketStream, answer: Answer) -> None:
        if answer.early:
            await stream.send_all(answer.early)
        head = await _receive_request(stream)
        if head is not None:
            self.requests.append(head)
            await self._send(stream, answer)

    async def _answer_early(self, stream: trio.SocketStream, answer: EarlyAnswer) -> None:
        received = b""
        while END_OF_HEAD not in received:
            data = await stream.receive_some(1024)
            if not data:
                return  # a probe
            received += data
        head, _, body = received.partition(END_OF_HEAD)
        self.requests.append(head + END_OF_HEAD)
        try:
            await stream.send_all(answer.data)
            await self._end_early_answer(stream, answer, head, body)
        finally:
            self.ended.set()

    async def _end_early_answer(
        self, stream: trio.SocketStream, answer: EarlyAnswer, head: bytes, body: bytes
    ) -> None:
        if answer.end.startswith("end"):
            await stream.send_eof()
        await trio.sleep(answer.pause)
        if "read on" in answer.end:
            length = re.search(rb"(?i)content-length: (\d+)", head)
            self.read_on.append(await _read_on(stream, body, int(length[1]) if length else 0))
        if answer.end.endswith("reset"):
            stream.setsockopt(SOL_SOCKET, SO_LINGER, RESET_ON_CLOSE)

    async def _send(self, stream: trio.SocketStream, answer: Answer) -> None:
        data = answer.data if isinstance(answer.data, bytes) else answer.data(self.requests[-1])
        await stream.send_all(data)
        if answer.late:
            await trio.sleep(PAUSE_SECONDS)
            await stream.send_all(answer.late)
        match answer.end:
            case "reset":
                await trio.sleep(PAUSE_SECONDS)
                stream.setsockopt(SOL_SOCKET, SO_LINGER, RESET_ON_CLOSE)
            case "keep":
                await stream.receive_some(1)


async def _receive_request(stream: trio.SocketStream) -> bytes | None:
    """Return the head of a request, or None if the connection ends before its body does.

    A connection that is closed with unread bytes would be reset.
    """
    received, needed = b"", 1
    while len(received) < needed:
        data = await stream.receive_some(65_536)
        if not data:
            return None
        received += data
        head, end_of_head, _ = received.partition(END_OF_HEAD)
        length = re.search(rb"(?i)content-length: (\d+)", head)
        needed = len(head + end_of_head) + int(length[1]) if length else len(head + end_of_head)
        needed += 0 if end_of_head else 1
    return head + END_OF_HEAD


async def _read_on(stream: trio.SocketStream, received: bytes, length: int) -> bytes:
    """Return a body, and what follows it until the caller closes or a pause is over."""
    body = bytearray(received)
    while True:
        data = b""
        with trio.move_on_after(READ_ON_SECONDS if len(body) < length else PAUSE_SECONDS):
            data = await stream.receive_some(65_536)
        if not data:
            return bytes(body)
        body += data


def frame_body(framing: str, parts: list[bytes]) -> tuple[bytes, bytes]:
    """Return the header lines and the bytes of a body."""
    match framing:
        case "with a length":
            return b"Content-Length: %d\r\n" % len(b"".join(parts)), b"".join(parts)
        case "in chunks":
            chunks = [b"%x\r\n%s\r\n" % (len(part), part) for part in parts]
            return b"Transfer-Encoding: chunked\r\n", b"".join(chunks) + b"0\r\n\r\n"
        case _:
            return b"", b"".join(parts)


async def run_for_each_cut(answer: bytes, run: Callable[[int], Awaitable[None]]) -> None:
    """Run an operation for each number of bytes that an answer can be cut to."""
    limit = trio.CapacityLimiter(CONCURRENT_CALLS)

    async def run_limited(cut_at: int) -> None:
        async with limit:
            await run(cut_at)

    async with trio.open_nursery() as nursery:
        for cut_at in range(len(answer) + 1):
            nursery.start_soon(run_limited, cut_at)


@asynccontextmanager
async def served(target: AnsweringTarget) -> AsyncIterator[str]:
    """Serve a target and return its address."""
    async with trio.open_nursery() as nursery:
        serve = partial(trio.serve_tcp, target.serve, 0, host="127.0.0.1")
        listeners = await nursery.start(serve)
        yield f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
        nursery.cancel_scope.cancel()


@dataclass(slots=True)
class AnsweredCall:
    """What the caller of one request got, and the heads that its targets received."""

    sink: RecordingSink
    outcome: ForwardOutcome
    requests: list[bytes]
    read_on: list[bytes]


@asynccontextmanager
async def opened_forwarder(target: AnsweringTarget) -> AsyncIterator[Forwarder]:
    """Serve a target and return a forwarder whose targets all have its address."""
    async with served(target) as address:
        engines = PlacementFixture(0, SystemClock())
        engines.targets = [
            replace(item, address=address) for item in PlacementFixture(4, SystemClock()).targets
        ]
        engines.apply_target_list()
        targets = HttpTargets(AdviceReader(lambda *_: None, SystemClock()))
        yield make_forwarder(engines, targets)


async def call_target(
    route: Route, answers: Sequence[Answer | EarlyAnswer], method: str = "POST", body: bytes = b""
) -> AnsweredCall:
    """Forward one request, `r1`, to a target with these answers."""
    target = AnsweringTarget(answers)
    async with opened_forwarder(target) as forwarder:
        call = await _forward(forwarder, target, route, "r1", method, body)
        if isinstance(answers[0], EarlyAnswer):
            await target.ended.wait()
        return call


async def call_target_twice(
    route: Route, answers: list[Answer], method: str = "POST"
) -> list[AnsweredCall]:
    """Forward two requests, `r1` and then `r2`, to a target with these answers."""
    target = AnsweringTarget(answers)
    async with opened_forwarder(target) as forwarder:
        return [
            await _forward(forwarder, target, route, request_id, method)
            for request_id in ("r1", "r2")
        ]


async def _forward(
    forwarder: Forwarder,
    target: AnsweringTarget,
    route: Route,
    request_id: str,
    method: str,
    body: bytes = b"",
) -> AnsweredCall:
    now = timedelta(seconds=trio.current_time())
    forwarded = make_forwarded(route, request_id=request_id, now=now)
    request = replace(forwarded, method=method, body=body)
    sink = RecordingSink()
    received = len(target.requests)
    outcome = await forwarder.forward(request, sink)
    return AnsweredCall(sink, outcome, target.requests[received:], target.read_on)
