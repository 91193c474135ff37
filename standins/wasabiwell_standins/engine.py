"""Stand-in for model engines with continuous batching, a prefix cache and limited memory.

An engine runs iterations. An iteration prefills up to `prefill_chunk` prompt tokens, ordered by
priority and arrival, and decodes one token of each sequence whose prefill is complete. Its duration
is a base time plus a time for each prefilled token; the tokens of a split prompt are divided by the
number of its engines. Memory is counted in tokens of KV cache. All times are multiplied by the time
scale.
"""

import os
import secrets
from collections import OrderedDict
from dataclasses import dataclass, field

import click
import httpcore
import msgspec
import trio
import xxhash

from wasabiwell_standins.asgi import HttpExchange, serve_http
from wasabiwell_standins.completions import token_for_seed

BYTES_PER_TOKEN = 4
PREFIX_BLOCK_BYTES = 4_096
MAX_PREFIX_BLOCKS = 64
CRASH_MARKER = b"crash-this-target"
"""The process ends, with all of its engines, when the prefill of a prompt with this text begins."""
SHARD_RENEWAL_INTERVAL_S = 5.0
"""Interval at which the lead engine of a split prompt renews reservations on other engines."""
LOST_EVENT_INTERVAL = 7
"""A `stored` event whose number is a multiple of this is lost: it is never published."""


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineParameters:
    """Speed and capacity of an engine; durations are in seconds, before the time scale applies.

    `total_tokens` is the size of the KV cache, `slots` the number of sequences that run at a time.
    `step_s` is the duration of an iteration without prefill, `prefill_chunk` the maximum of tokens
    prefilled in one. `load_lag_s` is the interval of load reports.
    """

    total_tokens: int = 400_000
    slots: int = 32
    step_s: float = 0.015
    prefill_tokens_per_s: float = 40_000.0
    prefill_chunk: int = 2_048
    load_lag_s: float = 0.5
    time_scale: float = 1.0


@dataclass(slots=True)
class Sequence:
    """A request that is queued or running on an engine.

    `seed` is the hash of the prompt, which determines the completion. `arrival` is a sequence
    number. `kv_tokens` is the memory used on this engine, without that of the shards on others.
    `emitted` is the number of generated tokens, including those of earlier attempts. `digest` is
    the hash of the text generated so far. `frames` are waiting to be written to the response.
    """

    attempt_id: str
    messages: bytes
    seed: int
    prompt_tokens: int
    max_tokens: int
    priority: int
    arrival: int
    kv_tokens: int
    emitted: int
    shards: list[dict[str, str]]
    digest: xxhash.xxh3_64
    prefilled: int = 0
    started: bool = False
    frames: list[bytes] = field(default_factory=list)
    wake: trio.Event = field(default_factory=trio.Event)

    def push(self, frame: bytes) -> None:
        """Queue a frame for the task that writes the response."""
        self.frames.append(frame)
        self.wake.set()


@dataclass(slots=True)
class Reservation:
    """Memory reserved for a request that will start here, or for a shard of another engine's one.

    `ttl_s` is the lifetime in seconds after each renewal, `expires` is in Trio's time.
    """

    tokens: int
    ttl_s: float
    expires: float


class Engine:
    """State and request handlers of one engine.

    `leaving`, `silent` and `fencing_checked` are set by `/control`: a leaving engine refuses new
    requests, a silent one does not respond, and one with checked fencing refuses orders with an old
    fencing number. `control_bytes` counts the bytes of load reports and cache events.
    """

    def __init__(self, name: str, parameters: EngineParameters) -> None:
        self.name = name
        self.parameters = parameters
        self.sequences: dict[str, Sequence] = {}
        self.reservations: dict[str, Reservation] = {}
        self.cache: OrderedDict[int, None] = OrderedDict()
        self.events: list[dict[str, object]] = []
        self.leaving = False
        self.silent = False
        self.overcommit_refusals = 0
        self.finished = 0
        self.cancelled = 0
        self.last_fencing = 0
        self.fencing_checked = False
        self.orders: list[dict[str, object]] = []
        self._arrival_count = 0
        self._work = trio.Event()
        self._reported_load: dict[str, object] = self.current_load()
        self._published_event_count = 0
        self.control_bytes = 0

    @property
    def used_tokens(self) -> int:
        """Return the KV cache tokens in use by sequences and reservations."""
        sequence_tokens = sum(sequence.kv_tokens for sequence in self.sequences.values())
        return sequence_tokens + sum(item.tokens for item in self.reservations.values())

    @property
    def free_tokens(self) -> int:
        """Return the KV cache tokens that are free."""
        return self.parameters.total_tokens - self.used_tokens

    def current_load(self) -> dict[str, object]:
        """Return the current load, without the lag of load reports."""
        running = sum(1 for sequence in self.sequences.values() if sequence.started)
        return {
            "slots": self.parameters.slots,
            "running": running,
            "queued": len(self.sequences) - running,
            "total_tokens": self.parameters.total_tokens,
            "free_tokens": self.free_tokens,
            "prefill_tokens": sum(
                sequence.prompt_tokens - sequence.prefilled for sequence in self.sequences.values()
            ),
            "leaving": self.leaving,
        }

    async def run(self) -> None:
        """Run iterations, refresh the load report and expire reservations."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._run_iterations)
            nursery.start_soon(self._refresh_load)

    async def _refresh_load(self) -> None:
        while True:
            self._reported_load = self.current_load()
            self._published_event_count = len(self.events)
            await trio.sleep(self.parameters.load_lag_s * self.parameters.time_scale)
            now = trio.current_time()
            for reservation_id, item in list(self.reservations.items()):
                if item.expires <= now:
                    del self.reservations[reservation_id]

    async def _run_iterations(self) -> None:
        next_iteration = trio.current_time()
        while True:
            if not self.sequences:
                self._work = trio.Event()
                await self._work.wait()
                next_iteration = trio.current_time()
            duration = self._prefill_batch()
            # An engine that is late catches up on at most one second.
            next_iteration = max(next_iteration + duration, trio.current_time() - 1.0)
            await trio.sleep_until(next_iteration)
            self._decode_batch()

    def _prefill_batch(self) -> float:
        """Prefill prompt tokens and return the duration of the iteration."""
        budget = self.parameters.prefill_chunk
        processed = 0.0
        for sequence in self._select_batch():
            remaining = sequence.prompt_tokens - sequence.prefilled
            if remaining <= 0 or budget <= 0:
                continue
            if CRASH_MARKER in sequence.messages:
                os._exit(70)
            chunk = min(remaining, budget)
            sequence.prefilled += chunk
            budget -= chunk
            processed += chunk / (1 + len(sequence.shards))
        duration = self.parameters.step_s + processed / self.parameters.prefill_tokens_per_s
        return duration * self.parameters.time_scale

    def _select_batch(self) -> list[Sequence]:
        """Assign free slots and return the running sequences by priority and arrival."""
        waiting = sorted(
            self.sequences.values(),
            key=lambda item: (not item.started, item.priority, item.arrival),
        )
        batch = waiting[: self.parameters.slots]
        for sequence in batch:
            sequence.started = True
        return sorted(batch, key=lambda item: (item.priority, item.arrival))

    def _decode_batch(self) -> None:
        for sequence in list(self.sequences.values()):
            if not sequence.started or sequence.prefilled < sequence.prompt_tokens:
                continue
            if sequence.emitted < sequence.max_tokens:
                self._decode_token(sequence)
            if sequence.emitted >= sequence.max_tokens:
                self._finish(sequence)

    def _decode_token(self, sequence: Sequence) -> None:
        text = token_for_seed(sequence.seed, sequence.emitted)
        sequence.digest.update(text.encode())
        frame = {
            "attempt": sequence.attempt_id,
            "offset": sequence.emitted,
            "count": 1,
            "text": text,
        }
        sequence.emitted += 1
        sequence.push(msgspec.json.encode(frame) + b"\n")

    def _finish(self, sequence: Sequence) -> None:
        end_frame = {
            "attempt": sequence.attempt_id,
            "end": True,
            "tokens": sequence.emitted,
            "digest": sequence.digest.hexdigest(),
            "finish_reason": "length",
        }
        self.finished += 1
        self.sequences.pop(sequence.attempt_id, None)
        self._cache_prompt(sequence.messages)
        sequence.push(msgspec.json.encode(end_frame) + b"\n")
        sequence.push(b"")

    def _cache_prompt(self, messages: bytes) -> None:
        for block in _prefix_blocks(messages):
            if block not in self.cache:
                sequence_number = len(self.events) + 1
                kind = "lost" if sequence_number % LOST_EVENT_INTERVAL == 0 else "stored"
                self.events.append({"seq": sequence_number, "kind": kind, "block": block})
            self.cache[block] = None
            self.cache.move_to_end(block)
        # Cached prefixes cover at most half as many tokens as the memory.
        limit = self.parameters.total_tokens * BYTES_PER_TOKEN // PREFIX_BLOCK_BYTES // 2
        while len(self.cache) > limit:
            evicted, _ = self.cache.popitem(last=False)
            self.events.append({"seq": len(self.events) + 1, "kind": "evicted", "block": evicted})

    def _cached_tokens(self, messages: bytes) -> int:
        tokens = 0
        for block in _prefix_blocks(messages):
            if block not in self.cache:
                break
            tokens += PREFIX_BLOCK_BYTES // BYTES_PER_TOKEN
        return tokens

    async def handle(self, exchange: HttpExchange) -> None:
        """Handle one HTTP request."""
        if self.silent and exchange.path != "/control":
            await trio.sleep_forever()
        match exchange.method, exchange.path:
            case "GET", "/load":
                await self._reply_control(exchange, self._reported_load)
            case "GET", "/cache-events":
                await self._reply_cache_events(exchange)
            case "POST", "/v1/generate":
                await self._generate(exchange)
            case "POST", "/v1/cancel":
                self._cancel(msgspec.json.decode(exchange.body)["attempt_id"])
                await exchange.reply(200, {})
            case "POST", "/v1/reservations":
                await self._reserve(exchange)
            case "PUT" | "POST", path if path.startswith("/v1/reservations/"):
                await self._renew_reservation(exchange, path.rpartition("/")[2])
            case "DELETE", path if path.startswith("/v1/reservations/"):
                self.reservations.pop(path.rpartition("/")[2], None)
                await exchange.reply(200, {})
            case "POST", "/v1/orders":
                await self._handle_order(exchange)
            case "POST", "/control":
                await self._handle_control(exchange)
            case "GET", "/control":
                await exchange.reply(200, self._statistics())
            case _:
                await exchange.reply(404, {"error": "no such path"})

    def _statistics(self) -> dict[str, object]:
        return {
            "name": self.name,
            "used_tokens": self.used_tokens,
            "sequences": len(self.sequences),
            "reservations": len(self.reservations),
            "finished": self.finished,
            "cancelled": self.cancelled,
            "overcommit_refusals": self.overcommit_refusals,
            "orders": self.orders,
            "control_bytes": self.control_bytes,
            "total_tokens": self.parameters.total_tokens,
        }

    async def _handle_control(self, exchange: HttpExchange) -> None:
        for name, value in msgspec.json.decode(exchange.body).items():
            if name not in ("leaving", "silent", "fencing_checked"):
                await exchange.reply(400, {"error": f"unknown control {name}"})
                return
            setattr(self, name, value)
        await exchange.reply(200, self._statistics())

    async def _reply_cache_events(self, exchange: HttpExchange) -> None:
        after = int(exchange.query("after", "0"))
        last = max(after, min(self._published_event_count, after + 500))
        events = [event for event in self.events[after:last] if event["kind"] != "lost"]
        await self._reply_control(exchange, {"events": events, "last": last})

    async def _reply_control(self, exchange: HttpExchange, value: dict[str, object]) -> None:
        """Respond to a control query and add the size of the body to `control_bytes`."""
        self.control_bytes += len(msgspec.json.encode(value))
        await exchange.reply(200, value)

    async def _reserve(self, exchange: HttpExchange) -> None:
        body = msgspec.json.decode(exchange.body)
        if body["tokens"] > self.free_tokens:
            self.overcommit_refusals += 1
            await exchange.reply(429, {"error": f"{self.free_tokens} tokens are free"})
            return
        reservation_id = secrets.token_hex(8)
        expires = trio.current_time() + body["ttl_s"]
        self.reservations[reservation_id] = Reservation(body["tokens"], body["ttl_s"], expires)
        await exchange.reply(200, {"reservation_id": reservation_id})

    async def _renew_reservation(self, exchange: HttpExchange, reservation_id: str) -> None:
        item = self.reservations.get(reservation_id)
        if item is None:
            await exchange.reply(404, {"error": "no such reservation"})
            return
        item.expires = trio.current_time() + item.ttl_s
        await exchange.reply(200, {})

    async def _renew_shards(self, sequence: Sequence) -> None:
        """Renew reservations on other engines; a failed renewal ends the response with an error."""
        async with httpcore.AsyncConnectionPool() as pool:
            while True:
                for shard in sequence.shards:
                    url = f"http://{shard['address']}/v1/reservations/{shard['reservation_id']}"
                    try:
                        status = (await pool.request("POST", url)).status
                    except (httpcore.NetworkError, httpcore.ProtocolError):
                        status = 0
                    if status != 200:
                        self._fail(sequence, "memory on another engine is lost")
                        return
                await trio.sleep(SHARD_RENEWAL_INTERVAL_S)

    def _fail(self, sequence: Sequence, error: str) -> None:
        self._cancel(sequence.attempt_id)
        frame = {"attempt": sequence.attempt_id, "error": error}
        sequence.push(msgspec.json.encode(frame) + b"\n")
        sequence.push(b"")

    async def _handle_order(self, exchange: HttpExchange) -> None:
        body = msgspec.json.decode(exchange.body)
        if self.fencing_checked and body["fencing"] < self.last_fencing:
            await exchange.reply(409, {"error": "old fencing number"})
            return
        self.last_fencing = max(self.last_fencing, body["fencing"])
        self.orders.append(body)
        await exchange.reply(200, {})

    async def _generate(self, exchange: HttpExchange) -> None:
        body = msgspec.json.decode(exchange.body)
        messages = bytes(msgspec.json.decode(exchange.body, type=_RawMessages).messages)
        sequence = self._create_sequence(body, messages)
        reservation = self.reservations.get(body["reservation_id"])
        available = self.free_tokens + (reservation.tokens if reservation is not None else 0)
        if self.leaving or sequence.kv_tokens > available:
            self.overcommit_refusals += 0 if self.leaving else 1
            error = "leaving" if self.leaving else f"{available} tokens are free"
            await exchange.reply(429, {"error": error})
            return
        self.reservations.pop(body["reservation_id"], None)
        self.sequences[sequence.attempt_id] = sequence
        self._work.set()
        try:
            await self._stream_response(exchange, sequence)
        finally:
            self._cancel(sequence.attempt_id)

    def _create_sequence(self, body: dict[str, object], messages: bytes) -> Sequence:
        prompt_tokens = max(1, len(messages) // BYTES_PER_TOKEN)
        shards = body["shards"]
        assert isinstance(shards, list)
        sharded_tokens = sum(int(shard["tokens"]) for shard in shards)
        self._arrival_count += 1
        digest = xxhash.xxh3_64(str(body["generated"]).encode())
        max_tokens, offset = int(str(body["max_tokens"])), int(str(body["resume_offset"]))
        return Sequence(
            attempt_id=str(body["attempt_id"]),
            messages=messages,
            seed=xxhash.xxh3_64_intdigest(messages),
            prompt_tokens=prompt_tokens,
            max_tokens=max_tokens,
            priority=int(str(body["priority"])),
            arrival=self._arrival_count,
            kv_tokens=max(0, prompt_tokens + max_tokens - sharded_tokens),
            emitted=offset,
            shards=shards,
            digest=digest,
            prefilled=min(prompt_tokens - 1, self._cached_tokens(messages)),
        )

    async def _stream_response(self, exchange: HttpExchange, sequence: Sequence) -> None:
        async with trio.open_nursery() as nursery:

            async def stop_on_disconnect() -> None:
                await exchange.wait_disconnected()
                nursery.cancel_scope.cancel()

            nursery.start_soon(stop_on_disconnect)
            if sequence.shards:
                nursery.start_soon(self._renew_shards, sequence)
            await exchange.start_stream(b"application/x-ndjson")
            while True:
                await sequence.wake.wait()
                sequence.wake = trio.Event()
                frames, sequence.frames = sequence.frames, []
                await exchange.send_chunk(b"".join(frames))
                if frames and frames[-1] == b"":
                    await exchange.send_chunk(b"", more=False)
                    nursery.cancel_scope.cancel()
                    return

    def _cancel(self, attempt_id: str) -> None:
        if self.sequences.pop(attempt_id, None) is not None:
            self.cancelled += 1


def _prefix_blocks(messages: bytes) -> list[int]:
    digest = xxhash.xxh3_64()
    blocks = []
    for index in range(min(len(messages) // PREFIX_BLOCK_BYTES, MAX_PREFIX_BLOCKS)):
        start = index * PREFIX_BLOCK_BYTES
        digest.update(messages[start : start + PREFIX_BLOCK_BYTES])
        blocks.append(digest.intdigest())
    return blocks


class _RawMessages(msgspec.Struct):
    messages: msgspec.Raw


@click.command()
@click.option("--address", required=True, help="HOST:PORT of the first engine.")
@click.option("--count", default=1, help="Engines in this process, on consecutive ports.")
@click.option("--name", required=True, help="Name of the first engine; others get a suffix.")
@click.option("--total-tokens", default=400_000, help="Memory of an engine in tokens.")
@click.option("--slots", default=32, help="Number of sequences that can run concurrently.")
@click.option("--step-s", default=0.015, help="Base duration of an iteration, in seconds.")
@click.option("--prefill-tokens-per-s", default=40_000.0, help="Prefill speed.")
@click.option("--load-lag-s", default=0.5, help="Interval between load reports, in seconds.")
@click.option("--time-scale", default=1.0, help="Factor applied to all durations.")
def main(address: str, count: int, name: str, **parameters: float) -> None:
    """Run one or more engine stand-ins."""
    host, _, port = address.rpartition(":")
    engine_parameters = EngineParameters(**parameters)  # type: ignore[arg-type]

    async def run() -> None:
        async with trio.open_nursery() as nursery:
            for index in range(count):
                engine = Engine(name if count == 1 else f"{name}-{index}", engine_parameters)
                nursery.start_soon(engine.run)
                nursery.start_soon(serve_http, engine.handle, host, int(port) + index)

    trio.run(run)


if __name__ == "__main__":
    main()
