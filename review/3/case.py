"""A request comes 3.15 s after SIGTERM, over a connection that the client has kept open."""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness import (
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

GRACE_S = 8.0
"""`bounds.grace_period_s`."""
SENT_AFTER_S = 3.15
"""Within the 6 s for which some clients keep a directory response with `ttl_s` 2."""
EVENT_GAPS = [2.8, *[0.35] * 10]
"""A claim dossier: first event within its objective of 3 s, pauses below the allowed 800 ms."""
KEY = "n2ctnfzs989anu6wsjnb"
ROUTES = [
    route(
        "claim",
        "streaming",
        MODEL_SERVICE,
        timeout_ms=15_000,
        target_latency_ms=3_000,
        target_gap_ms=800,
        attempts=2,
        resume_streams=True,
    )
]


async def work(engine: Engine, run: Run, writer: asyncio.StreamWriter) -> None:
    """Write the stream of a dossier, or the rest of it."""
    done = int(run.headers.get("last-event-id", "0"))

    async def next_event(number: int) -> None:
        await asyncio.sleep(EVENT_GAPS[number - 1])

    await engine.stream(run, writer, len(EVENT_GAPS), next_event, done + 1)


async def send(fleet: Fleet, connection: Connection) -> str:
    """Send a dossier and return its request id."""
    headers = fleet.request_headers(15_008, KEY, (210_000, 800))
    request_id = headers["Wasabiwell-Request-Id"]
    await connection.send("POST", "/claim/1", headers, [b"dossier"])
    fleet.record.add("client", f"has sent dossier {request_id}")
    return request_id


async def receive(fleet: Fleet, connection: Connection, request_id: str) -> Message:
    """Return the answer, complete or not."""
    answer = await read_head(connection.reader) or Message("", {})
    if answer.status:
        async for chunk in body_chunks(connection.reader, answer):
            answer.body += chunk
    events = answer.body.count(b"id:")
    end = "complete" if answer.complete else "connection ended before the end of the answer"
    fleet.record.add("client", f"{request_id}: status {answer.status}, {events} events, {end}")
    return answer


async def play(fleet: Fleet) -> list[str]:
    """Stop an instance as in a rolling restart, and use its address within the kept answer."""
    for number in range(3):
        await fleet.add_engine(f"i-advisor{number}", MODEL_SERVICE, work)
    tenant = {"name": "hule930", "api_keys": [KEY]}
    fleet.store.put("op", "config", configuration(7, ROUTES, [tenant]))
    await fleet.start_instances(3)
    instance = fleet.instances[0]
    kept = await Connection.open(instance.address("frontend"))
    first = await send(fleet, kept)
    if not (await receive(fleet, kept, first)).complete:
        raise CaseNotRunError("a dossier was not served without a stop")
    directory = await Connection.open(instance.address("directory"))
    await directory.send("GET", "/resolve?name=a.example&region=new-england&zone=merrimack", {})
    listed = (await directory.receive()).body.decode()
    directory.close()
    fleet.record.add("client", f"is told {listed}, and keeps it for three times ttl_s")
    if instance.address("frontend") not in listed:
        raise CaseNotRunError("the directory does not list the instance")
    stopped_at = instance.send_signal(signal.SIGTERM) if TROUBLE else fleet.record.now()
    await asyncio.sleep(SENT_AFTER_S)
    request_id = await send(fleet, kept)
    sent_at = fleet.record.now()
    answer = await receive(fleet, kept, request_id)
    ended_at = fleet.record.now()
    await asyncio.sleep(0.2)
    if sent_at < stopped_at + 3.0:
        raise CaseNotRunError("the request was sent too early")
    runs = fleet.runs(request_id)
    if not runs or answer.complete:
        return []
    if ended_at > stopped_at + GRACE_S + 1.0:
        return []
    return [
        f"LOST: {request_id}, sent {sent_at - stopped_at:.2f} s after SIGTERM, was passed on to"
        f" {runs[0].engine}, and its connection ended {ended_at - stopped_at:.2f} s after SIGTERM"
        " without a complete answer"
    ]


run_case(Path(__file__).resolve().parent, play)
