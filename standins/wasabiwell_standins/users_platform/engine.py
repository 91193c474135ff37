"""Targets of the users' platform: emulated engines and plain services.

The duration of an engine iteration follows from the engine profile in the platform's configuration,
divided by `speed`.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Any

import h11
import msgspec
import trio

from wasabiwell_standins.users_platform.announcements import Announcements
from wasabiwell_standins.users_platform.connections import (
    Request,
    cancel_when_closed,
    encode_head,
    receive,
    reply,
    reset_on_close,
)
from wasabiwell_standins.users_platform.faults import TargetFaults
from wasabiwell_standins.users_platform.ledger import Ledger, Run

IDLE_SECONDS = 10.0
NOT_EXECUTED = ("Wasabiwell-Not-Executed", "1")
QUEUE_FACTOR = 3
"""A target accepts this many requests for each of its slots, then responds with 503."""


@dataclass(slots=True, eq=False)
class Sequence:
    """A request, or one segment of its split prefill, on an engine.

    `split` is set if several engines share the prefill. `context` is the number of tokens that the
    sequence keeps in the KV cache. `events` are the numbers of events that are not sent yet.
    """

    request_id: str
    split: bool
    prefill_tokens_left: float
    prefill_seconds_per_token: float
    context: int
    events_left: int
    prefill_done: trio.Event = field(default_factory=trio.Event)
    events: list[int] = field(default_factory=list)
    event_ready: trio.Event = field(default_factory=trio.Event)
    next_event: int = 1
    decoding: bool = False


MALFORMED_REQUEST_ERRORS = (ValueError, KeyError, TypeError, AttributeError, IndexError)
"""Errors of decoding a request, before any byte of a response is sent."""


class Target:
    """One target; `profile` is the engine profile of its service, None for a plain service.

    `listed_address` is the address in the platform's list of targets, which may be that of a proxy.
    `find_engine` looks up a helper by its listed address. `tickets` maps the id of a KV cache
    reservation to its tokens and its expiry time.
    """

    def __init__(
        self,
        target_id: str,
        service: str,
        address: str,
        zone: str,
        ledger: Ledger,
        profile: dict[str, Any] | None = None,
        speed: float = 1.0,
        seed: int = 0,
    ) -> None:
        self.target_id = target_id
        self.service = service
        self.address = address
        self.listed_address = address
        self.zone = zone
        self.profile = profile
        self.faults = TargetFaults()
        self.announcements = Announcements()
        self.incarnation = 1_700_000_000_000 + seed
        self.running = 0
        self.crash_count = 0
        self.tickets: dict[str, tuple[int, float]] = {}
        self.find_engine: Callable[[str], Target | None] = lambda address: None
        self._ledger = ledger
        self._speed = speed
        self._random = random.Random(f"{target_id}-{seed}")
        self._sequences: list[Sequence] = []
        self._work_added = trio.Event()
        self._crash = trio.Event()

    @property
    def slots(self) -> int:
        """Return the number of requests that run concurrently."""
        return int(self.profile["slots"]) if self.profile is not None else 6

    @property
    def tokens_held(self) -> int:
        """Return the KV cache tokens of all tickets, after removing expired ones."""
        now = trio.current_time()
        self.tickets = {key: item for key, item in self.tickets.items() if item[1] > now}
        return sum(tokens for tokens, _ in self.tickets.values())

    @property
    def occupancy(self) -> float:
        """Return which share of the slots or of the KV cache is taken, above 1 if requests wait."""
        places = self.running / self.slots
        if self.profile is None:
            return places
        tokens = self.tokens_held + sum(item.context for item in self._sequences)
        return max(places, tokens / float(self.profile["kv_capacity_tokens"]))

    @property
    def crashed(self) -> bool:
        """Return whether the target has crashed and was not started again."""
        return self._crash.is_set()

    def listing_entry(self, state: str = "ready") -> dict[str, Any]:
        """Return this target's row in the platform's list of targets."""
        return {
            "service": self.service,
            "address": self.listed_address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": state,
            "cold_remaining_ms": 0,
            "born": self.incarnation,
            "sequence": 1,
        }

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Serve until `crash` or cancellation, which reset all open connections."""
        host, _, port = self.address.rpartition(":")
        self._crash = trio.Event()
        self._sequences.clear()
        self.tickets.clear()
        self.running = 0
        async with trio.open_nursery() as nursery:
            await nursery.start(
                partial(trio.serve_tcp, self._serve_connection, int(port), host=host)
            )
            nursery.start_soon(self._run_iterations)
            task_status.started()
            await self._crash.wait()
            nursery.cancel_scope.cancel()

    def crash(self) -> None:
        """Make `run` return at once."""
        self.crash_count += 1
        self._crash.set()

    def restart(self) -> None:
        """Start a new incarnation; the caller then calls `run` again."""
        self.announcements = Announcements()
        self.incarnation += 1

    async def _serve_connection(self, stream: trio.SocketStream) -> None:
        connection = h11.Connection(h11.SERVER)
        try:
            with trio.move_on_after(IDLE_SECONDS) as scope:
                while (request := await receive(stream, connection)) is not None:
                    scope.deadline = trio.current_time() + 10 * IDLE_SECONDS
                    await self._serve_request(stream, connection, request)
                    if connection.our_state is not h11.DONE:
                        break
                    connection.start_next_cycle()
                    scope.deadline = trio.current_time() + IDLE_SECONDS
        except (trio.BrokenResourceError, trio.ClosedResourceError, h11.ProtocolError):
            pass
        except BaseException:
            if not (self.faults.close_on_crash and self._crash.is_set()):
                reset_on_close(stream)
            raise
        finally:
            await trio.aclose_forcefully(stream)

    async def _serve_request(
        self, stream: trio.SocketStream, connection: h11.Connection, request: Request
    ) -> None:
        match request.target.partition("?")[0]:
            case "/report":
                await reply(stream, connection, 200, [], msgspec.json.encode(self._report()))
            case "/order":
                status, body = self._apply_order(msgspec.json.decode(request.body))
                await reply(stream, connection, status, [], msgspec.json.encode(body))
            case "/health":
                headers = [("Wasabiwell-Instance-Id", self.target_id)]
                await reply(stream, connection, 200, headers, b"")
            case _:
                await self._serve_forwarded(stream, connection, request)

    def _report(self) -> dict[str, Any]:
        tickets = [
            {"id": key, "tokens": tokens, "state": "held", "age_ms": 0}
            for key, (tokens, _) in self.tickets.items()
        ]
        return {"running": self.running, "waiting": 0, "pace": self.faults.slow, "tickets": tickets}

    def _apply_order(self, order: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        if order["operation"] == "release":
            self.tickets.pop(order["id"], None)
            return 200, {}
        if order["operation"] != "reserve" or self.profile is None:
            return 400, {}
        total = int(self.profile["kv_capacity_tokens"])
        self.tickets.pop(order["id"], None)
        used = self.tokens_held + sum(item.context for item in self._sequences)
        if order["tokens"] > total:
            return 400, {}
        if used + order["tokens"] > total:
            return 409, {"free": total - used}
        expires_at = trio.current_time() + order["hold_ms"] / 1000
        self.tickets[order["id"]] = (int(order["tokens"]), expires_at)
        return 200, {"free": total - used - int(order["tokens"])}

    async def _serve_forwarded(
        self, stream: trio.SocketStream, connection: h11.Connection, request: Request
    ) -> None:
        headers = request.headers
        request_id = headers.get("wasabiwell-request-id", "")
        common = [
            ("Wasabiwell-Request-Id", request_id),
            ("Wasabiwell-Response-Signature", f"{self.target_id}.{request_id}"),
        ]
        if headers.get("wasabiwell-expected-instance", self.target_id) != self.target_id:
            await reply(stream, connection, 421, [("At-Server", self.listed_address)], b"")
            return
        now = trio.current_time()
        self.announcements.count_request(now)
        common += self.announcements.headers(now)
        if self._draw_fault(self.faults.pause_share):
            pause = self.announcements.ask_pause(now, self.faults.pause_seconds)
            await reply(stream, connection, 503, [*common, NOT_EXECUTED, *pause], b"")
            return
        if self.running >= self.slots * QUEUE_FACTOR:
            await reply(stream, connection, 503, [NOT_EXECUTED], b"")
            return
        run = Run(
            request_id,
            self.target_id,
            self.service,
            headers.get("wasabiwell-tenant", ""),
            request.target,
            trio.current_time(),
        )
        if "authorization" in headers:
            self._ledger.detected_violations.append(
                f"{request_id}: a target received the caller's API key"
            )
        self._ledger.runs[request_id].append(run)
        if self._crashes_on(request) and not self.faults.crash_after_head:
            self.crash()
            await trio.sleep_forever()
        self.running += 1
        try:
            interrupted = False
            async with trio.open_nursery() as nursery:
                nursery.start_soon(cancel_when_closed, stream, nursery.cancel_scope)
                try:
                    if self.profile is not None and "wasabiwell-token-counts" in headers:
                        await self._serve_stream(stream, connection, request, common, run)
                    else:
                        await self._serve_plain(stream, connection, request, common)
                except trio.BrokenResourceError:
                    interrupted = True
                except MALFORMED_REQUEST_ERRORS:
                    await reply(stream, connection, 400, common, b"malformed request")
                nursery.cancel_scope.cancel()
            if interrupted:
                raise trio.BrokenResourceError
        finally:
            self.running -= 1
            run.ended_at = trio.current_time()

    def _crashes_on(self, request: Request) -> bool:
        text = self.faults.crash_on
        parts = request.headers.get("wasabiwell-prompt-prefix", "")
        return bool(text) and (text in request.body.decode("latin-1") or text in parts)

    def _draw_fault(self, share: float) -> bool:
        return share > 0 and self._random.random() < share

    async def _serve_plain(
        self,
        stream: trio.SocketStream,
        connection: h11.Connection,
        request: Request,
        common: list[tuple[str, str]],
    ) -> None:
        if request.method == "HEAD":
            await reply(stream, connection, 200, common, b"")
            return
        body_fields = msgspec.json.decode(request.body) if request.body else {}
        await trio.sleep(body_fields.get("work_ms", 15) / 1000 * self.faults.slow)
        copies = body_fields.get("copies", 8)
        body = f"done {request.headers['wasabiwell-request-id']}".encode() * copies
        if self._draw_fault(self.faults.hang_share):
            await trio.sleep_forever()
        if self._draw_fault(self.faults.reset_share):
            reset_on_close(stream)
            raise trio.BrokenResourceError
        if self._draw_fault(self.faults.error_share):
            await reply(stream, connection, 500, common, b"failed")
            return
        if self._draw_fault(self.faults.foreign_share):
            foreign = [("Wasabiwell-Request-Id", "another"), common[1]]
            await reply(stream, connection, 200, foreign, body)
            return
        if self._draw_fault(self.faults.cut_share):
            head = encode_head(connection, 200, [*common, ("Content-Length", str(len(body)))])
            await stream.send_all(head + body[: len(body) // 2])
            raise trio.BrokenResourceError
        if self._draw_fault(self.faults.unframed_share):
            lines = "".join(f"{name}: {value}\r\n" for name, value in common)
            await stream.send_all(f"HTTP/1.1 200 OK\r\n{lines}\r\n".encode() + body)
            raise trio.BrokenResourceError
        await reply(stream, connection, 200, common, body)
        if self._draw_fault(self.faults.extra_share):
            await stream.send_all(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra")

    async def _serve_stream(
        self,
        stream: trio.SocketStream,
        connection: h11.Connection,
        request: Request,
        common: list[tuple[str, str]],
        run: Run,
    ) -> None:
        body_fields = msgspec.json.decode(request.body)
        after = int(request.headers.get("last-event-id", "0"))
        run.resumed_after = after or None
        engines = self._find_engines(request)
        if isinstance(engines, str):
            self._ledger.runs[run.request_id].remove(run)
            await reply(stream, connection, 503, [NOT_EXECUTED, ("At-Server", engines)], b"")
            return
        run.helpers = tuple(engine.target_id for engine in engines[1:])
        prompt = int(request.headers["wasabiwell-token-counts"].split(",")[0])
        capacity = self.profile["kv_capacity_tokens"] * len(engines) if self.profile else 0
        if not 0 < prompt <= capacity:
            raise ValueError("the prompt does not fit into the engine and its helpers")
        segments = [engine.add_sequence(run.request_id, prompt, len(engines)) for engine in engines]
        lead = segments[0]
        lead.events_left, lead.next_event = int(body_fields["events"]) - after, after + 1
        try:
            for segment in segments:
                await segment.prefill_done.wait()
            lead.decoding = True
            self._work_added.set()
            headers = [*common, ("Content-Type", "text/event-stream")]
            headers.append(("Transfer-Encoding", "chunked"))
            await stream.send_all(encode_head(connection, 200, headers))
            if self._crashes_on(request):
                self.crash()
                await trio.sleep_forever()
            await self._send_events(stream, connection, lead, run.request_id)
        finally:
            for engine, segment in zip(engines, segments, strict=True):
                engine.remove_sequence(segment)

    async def _send_events(
        self,
        stream: trio.SocketStream,
        connection: h11.Connection,
        lead: Sequence,
        request_id: str,
    ) -> None:
        while lead.events_left > 0 or lead.events:
            if not lead.events:
                await lead.event_ready.wait()
                lead.event_ready = trio.Event()
            while lead.events:
                number = lead.events.pop(0)
                event = f"id: {number}\ndata: {request_id}.{number}\n\n".encode()
                if self._draw_fault(self.faults.reset_share):
                    reset_on_close(stream)
                    raise trio.BrokenResourceError
                if self._draw_fault(self.faults.cut_share):
                    data = connection.send(h11.Data(data=event[: len(event) // 2]))
                    await stream.send_all(data or b"")
                    raise trio.BrokenResourceError
                if self._draw_fault(self.faults.hang_share):
                    await trio.sleep_forever()
                await stream.send_all(connection.send(h11.Data(data=event)) or b"")
        await stream.send_all(connection.send(h11.EndOfMessage()) or b"")

    def _find_engines(self, request: Request) -> "list[Target] | str":
        """Return this engine and its helpers, or the address of an unavailable helper."""
        engines = [self]
        for item in filter(None, request.headers.get("wasabiwell-helpers", "").split(",")):
            address, _, ticket = item.partition("/")
            engine = self.find_engine(address)
            if engine is None or (ticket and ticket not in engine.tickets):
                return address
            engines.append(engine)
        return engines

    def add_sequence(self, request_id: str, prompt: int, engines: int) -> Sequence:
        """Add one of `engines` equal prefill segments of a prompt."""
        assert self.profile is not None
        seconds_per_token = 1 / self.profile["read_per_s"]
        seconds_per_token += prompt / 2 * self.profile["pairs_per_m"] / 1e9
        sequence = Sequence(
            request_id, engines > 1, prompt / engines, seconds_per_token, prompt // engines, 0
        )
        self._sequences.append(sequence)
        self._work_added.set()
        return sequence

    def remove_sequence(self, sequence: Sequence) -> None:
        """Remove the sequence of a finished request."""
        if sequence in self._sequences:
            self._sequences.remove(sequence)

    async def _run_iterations(self) -> None:
        """Run engine iterations: prefill up to the token budget, one event per decoding request."""
        while True:
            decoding_sequences = [
                item for item in self._sequences if item.decoding and item.events_left > 0
            ]
            prefill_queue = self._prefill_order()
            if not decoding_sequences and not prefill_queue:
                await self._work_added.wait()
                self._work_added = trio.Event()
                continue
            await trio.sleep(
                self._advance_prefill(decoding_sequences, prefill_queue)
                / self._speed
                * self.faults.slow
            )
            for item in decoding_sequences:
                item.events.append(item.next_event)
                item.next_event += 1
                item.events_left -= 1
                item.event_ready.set()

    def _prefill_order(self) -> list[Sequence]:
        """Return the sequences to prefill: segments of split prompts first, newest first."""
        waiting = [item for item in self._sequences if item.prefill_tokens_left > 0]
        segments = [item for item in waiting if item.split]
        return [*reversed(segments), *(item for item in waiting if not item.split)]

    def _advance_prefill(
        self, decoding_sequences: list[Sequence], prefill_queue: list[Sequence]
    ) -> float:
        """Apply the prefill of one iteration and return the iteration's duration in seconds."""
        assert self.profile is not None
        step_ms = self.profile["step_ms"] + self.profile["per_seq_ms"] * len(decoding_sequences)
        step_ms += (
            self.profile["context_per_k"] * sum(item.context for item in decoding_sequences) / 1000
        )
        seconds = self.profile["stride"] * step_ms / 1000 if decoding_sequences else 0.0
        token_budget = float(
            self.profile["chunk"] * (self.profile["stride"] if decoding_sequences else 1)
        )
        for item in prefill_queue:
            tokens = min(token_budget, item.prefill_tokens_left)
            item.prefill_tokens_left -= tokens
            token_budget -= tokens
            seconds += tokens * item.prefill_seconds_per_token
            if item.prefill_tokens_left <= 0:
                item.prefill_done.set()
            if token_budget <= 0:
                break
        return seconds
