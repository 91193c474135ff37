"""An engine runs out of memory and preempts the newest stream; the instance cuts that stream."""

import asyncio
import signal
import sys
from dataclasses import dataclass, field
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness import (
    ENGINE_PROFILE,
    MODEL_SERVICE,
    TROUBLE,
    CaseNotRunError,
    Connection,
    Engine,
    Fleet,
    Message,
    Run,
    body_chunks,
    configuration,
    read_head,
    route,
    run_case,
)

EVENT_TOKENS = 46
"""Tokens of an event, as the sheet has it."""
DOSSIER_TOKENS = 201_900 if TROUBLE else 150_000
"""Two of these and the survey fit into the engine's memory, but not with all that they write."""
DOSSIER_EVENTS, DOSSIER_GAP_S = 24, 0.35
SURVEY_TOKENS = 45_000
SURVEY_EVENTS, SURVEY_GAP_S = 10, 0.2
PREFILL_S = {"claim": 2.7, "survey": 0.3}
"""Of 202,000 and 45,000 tokens at `read_per_s`, with their pairs (`pairs_per_m`)."""
KEY = "n2ctnfzs989anu6wsjnb"
FIELDS = {"attempts": 2, "resume_streams": True}
ROUTES = [
    route(
        "claim",
        "streaming",
        MODEL_SERVICE,
        timeout_ms=15_000,
        target_latency_ms=3_000,
        target_gap_ms=800,
        **FIELDS,
    ),
    route(
        "survey",
        "streaming",
        MODEL_SERVICE,
        target_latency_ms=1_500,
        target_gap_ms=500,
        **FIELDS,
    ),
]


@dataclass(slots=True)
class Memory:
    """KV cache of the engine: tokens by request id, the oldest request first."""

    held: dict[str, int] = field(default_factory=dict)
    preempted: set[str] = field(default_factory=set)
    freed: asyncio.Event = field(default_factory=asyncio.Event)

    def fits(self, tokens: int) -> bool:
        """Return whether there is room for further tokens."""
        used = sum(count for name, count in self.held.items() if name not in self.preempted)
        return used + tokens <= int(ENGINE_PROFILE["kv_capacity_tokens"])

    def write(self, request_id: str) -> None:
        """Add the tokens of an event, and preempt the newest requests when memory runs out."""
        self.held[request_id] += EVENT_TOKENS
        for newest in reversed(list(self.held)):
            if self.fits(0):
                return
            self.preempted.add(newest)

    def free(self, request_id: str) -> None:
        """Release the tokens of a request that has ended."""
        del self.held[request_id]
        self.preempted.discard(request_id)
        self.freed.set()
        self.freed = asyncio.Event()


memory = Memory()
prefill = asyncio.Lock()


async def work(engine: Engine, run: Run, writer: asyncio.StreamWriter) -> None:
    """Write a stream, with a pause while the request is preempted."""
    prompt = int(run.headers["wasabiwell-token-counts"].split(",")[0])
    kind = "claim" if prompt == DOSSIER_TOKENS else "survey"
    if not memory.fits(prompt):
        await engine.shed(run, writer)
        return
    memory.held[run.request_id] = prompt
    events, gap = (
        (DOSSIER_EVENTS, DOSSIER_GAP_S) if kind == "claim" else (SURVEY_EVENTS, SURVEY_GAP_S)
    )

    async def next_event(number: int) -> None:
        if number == 1:
            async with prefill:
                await asyncio.sleep(PREFILL_S[kind])
        await asyncio.sleep(gap)
        if run.request_id in memory.preempted:
            engine.record.add(engine.engine_id, f"{run.request_id}: preempted, memory is full")
            while not memory.fits(memory.held[run.request_id] + EVENT_TOKENS):
                await memory.freed.wait()
            await asyncio.sleep(PREFILL_S[kind])
            memory.preempted.discard(run.request_id)
        memory.write(run.request_id)

    try:
        await engine.stream(run, writer, events, next_event)
    finally:
        memory.free(run.request_id)


async def send(fleet: Fleet, address: str, path: str, tokens: int) -> tuple[Connection, str]:
    """Send a request for a stream; return its connection and its id."""
    connection = await Connection.open(address)
    headers = fleet.request_headers(15_008 if path == "claim" else 10_006, KEY, (tokens, 1_000))
    request_id = headers["Wasabiwell-Request-Id"]
    await connection.send("POST", f"/{path}/1", headers, [b"prompt"])
    fleet.record.add("client", f"has sent {path} {request_id} to {address}")
    return connection, request_id


async def read_dossier(
    fleet: Fleet, connection: Connection, request_id: str, begun: asyncio.Event
) -> None:
    """Read the whole stream of a dossier; `begun` is set after its fourth event."""
    answer = await read_head(connection.reader) or Message("", {})
    async for chunk in body_chunks(connection.reader, answer):
        answer.body += chunk
        if answer.body.count(b"id:") >= 4:
            begun.set()
    end = "complete" if answer.complete else "not complete"
    fleet.record.add("client", f"{request_id}: status {answer.status}, {end}")


async def play(fleet: Fleet) -> list[str]:
    """Stop an instance while it relays the newest stream of an engine whose memory runs out."""
    await fleet.add_engine("i-advisor0", MODEL_SERVICE, work)
    tenant = {"name": "hule930", "api_keys": [KEY]}
    fleet.store.put("op", "config", configuration(7, ROUTES, [tenant]))
    await fleet.start_instances(3)
    dossiers, begun = [], []
    for other in fleet.instances[1:]:
        sent = await send(fleet, other.address("frontend"), "claim", DOSSIER_TOKENS)
        begun.append(asyncio.Event())
        dossiers.append(asyncio.ensure_future(read_dossier(fleet, *sent, begun[-1])))
    await asyncio.wait_for(asyncio.gather(*(event.wait() for event in begun)), 15)
    instance = fleet.instances[0]
    connection, request_id = await send(
        fleet, instance.address("frontend"), "survey", SURVEY_TOKENS
    )
    answer = await read_head(connection.reader) or Message("", {})
    if answer.status != 200:
        raise CaseNotRunError(f"the survey was not placed: {answer.start}")
    stopped_at = 0.0
    async for chunk in body_chunks(connection.reader, answer):
        answer.body += chunk
        if not stopped_at and b"id:" in answer.body:
            stopped_at = instance.send_signal(signal.SIGTERM)
    ended_at = fleet.record.now()
    events = answer.body.count(b"id:")
    end = "complete" if answer.complete else "connection ended before the end of the answer"
    fleet.record.add("client", f"{request_id}: status {answer.status}, {events} events, {end}")
    await asyncio.gather(*dossiers)
    if len(fleet.runs(request_id)) != 1:
        raise CaseNotRunError("the survey ran more than once")
    if answer.complete:
        return []
    return [
        f"LOST: {request_id} was passed on to i-advisor0, which did not break off; its connection"
        f" ended {ended_at - stopped_at:.2f} s after SIGTERM, {events} of {SURVEY_EVENTS} events"
    ]


run_case(Path(__file__).resolve().parent, play)
