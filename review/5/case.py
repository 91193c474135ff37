"""An engine runs bookings and answers some of them with a 503 that doesn't say "not executed"."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness import (
    PLAIN_SERVICE,
    TROUBLE,
    CaseNotRunError,
    Connection,
    Engine,
    Fleet,
    Run,
    configuration,
    encode_response,
    route,
    run_case,
)

BOOKINGS = 45
FAILED_OF_FIVE = 2
"""A share of 0.4 of the requests of one engine, as the pages' `srv_grey` has it."""
GREY_ENGINE = "i-desk0"
KEY = "n2ctnfzs989anu6wsjnb"
ROUTES = [route("book", "unsafe", PLAIN_SERVICE, timeout_ms=2_000)]


async def work(engine: Engine, run: Run, writer: asyncio.StreamWriter) -> None:
    """Run a booking; the grey engine fails some after the work is done."""
    await asyncio.sleep(0.02)
    if TROUBLE and engine.engine_id == GREY_ENGINE and len(engine.runs) % 5 < FAILED_OF_FIVE:
        headers = {**engine.answer_headers(run), "Connection": "close"}
        writer.write(encode_response(503, headers, b"failed after the booking was made"))
        await writer.drain()
        engine.record.add(engine.engine_id, f"{run.request_id} has run and ends with 503")
        return
    await engine.answer(run, writer, b"booked")


async def book(fleet: Fleet, address: str, booking: int) -> list[tuple[int, str]]:
    """Send a booking, and once more after a promise; return status and request id of each."""
    attempts: list[tuple[int, str]] = []
    while len(attempts) < 2:
        headers = fleet.request_headers(1_004, KEY)
        request_id = headers["Wasabiwell-Request-Id"]
        connection = await Connection.open(address)
        fleet.record.add("client", f"sends booking {booking} as {request_id}")
        await connection.send("POST", "/book/1", headers, [b"booking %d" % booking])
        answer = await asyncio.wait_for(connection.receive(), 5)
        connection.close()
        attempts.append((answer.status, request_id))
        fleet.record.add("client", f"{request_id}: status {answer.status}")
        if answer.status not in (429, 503):
            break
        await asyncio.sleep(min(float(answer.headers.get("retry-after", "0.05")), 0.3))
    return attempts


async def play(fleet: Fleet) -> list[str]:
    """Send bookings over all instances, and look for promises that are not true."""
    for number in range(3):
        await fleet.add_engine(f"i-desk{number}", PLAIN_SERVICE, work)
    tenant = {"name": "hule930", "api_keys": [KEY]}
    fleet.store.put("op", "config", configuration(7, ROUTES, [tenant]))
    await fleet.start_instances(3)
    violations = []
    served = 0
    for booking in range(1, BOOKINGS + 1):
        address = fleet.instances[booking % 3].address("frontend")
        attempts = await book(fleet, address, booking)
        served += attempts[-1][0] == 200
        runs = [(status, name) for status, name in attempts if fleet.runs(name)]
        for status, request_id in runs:
            if status in (408, 421, 429, 503):
                violations.append(
                    f"REFUSED: {request_id} ran on {fleet.runs(request_id)[0].engine} and is"
                    f" answered {status}; booking {booking} ran {len(runs)} times in all"
                )
    if served < BOOKINGS / 2:
        raise CaseNotRunError(f"only {served} bookings were served")
    return violations


run_case(Path(__file__).resolve().parent, play)
