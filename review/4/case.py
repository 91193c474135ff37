"""An engine pauses in a stream while no other engine has room; the engine then goes on."""

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

PAUSE_S = 4.0
"""Time in which a preempted dossier waits for memory and is read again; clients wait for 12 s."""
USUAL_GAP_S = 0.3
STOP_AFTER_EVENTS = 2
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
full = False


async def work(engine: Engine, run: Run, writer: asyncio.StreamWriter) -> None:
    """Write the stream of a dossier; engines that are full shed it."""
    if full and engine.engine_id != "i-advisor0":
        await engine.shed(run, writer)
        return
    done = int(run.headers.get("last-event-id", "0"))
    gaps = [1.0, *[USUAL_GAP_S] * 2, PAUSE_S if TROUBLE else USUAL_GAP_S, *[USUAL_GAP_S] * 3]
    await engine.stream(run, writer, gaps[done:], done + 1)


async def play(fleet: Fleet) -> list[str]:
    """Stop an instance while it relays a stream whose engine pauses."""
    global full
    engines = [await fleet.add_engine(f"i-advisor{n}", MODEL_SERVICE, work) for n in range(3)]
    tenant = {"name": "hule930", "api_keys": [KEY]}
    fleet.store.put("op", "config", configuration(7, ROUTES, [tenant]))
    await fleet.start_instances(3)
    instance = fleet.instances[0]
    full = True
    connection = await Connection.open(instance.address("frontend"))
    headers = fleet.request_headers(15_008, KEY, (210_000, 800))
    request_id = headers["Wasabiwell-Request-Id"]
    await connection.send("POST", "/claim/1", headers, [b"dossier"])
    fleet.record.add("client", f"has sent dossier {request_id}")
    answer = await read_head(connection.reader) or Message("", {})
    if answer.status != 200:
        raise CaseNotRunError(f"the dossier was not placed on the free engine: {answer.start}")
    stopped_at = 0.0
    async for chunk in body_chunks(connection.reader, answer):
        answer.body += chunk
        if not stopped_at and answer.body.count(b"id:") == STOP_AFTER_EVENTS:
            stopped_at = instance.send_signal(signal.SIGTERM)
    ended_at = fleet.record.now()
    events = answer.body.count(b"id:")
    end = "complete" if answer.complete else "connection ended before the end of the answer"
    fleet.record.add("client", f"{request_id}: status {answer.status}, {events} events, {end}")
    await asyncio.sleep(0.2)
    runs = fleet.runs(request_id)
    if len(runs) != 1 or runs[0].engine != engines[0].engine_id:
        raise CaseNotRunError("the dossier ran elsewhere too")
    if answer.complete:
        return []
    return [
        f"LOST: {request_id} was passed on to {runs[0].engine}, which did not break off; its"
        f" connection ended {ended_at - stopped_at:.2f} s after SIGTERM with {events} of 7 events"
    ]


run_case(Path(__file__).resolve().parent, play)
