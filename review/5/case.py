"""An engine leaves just after a power loss of most machines; the surviving ones keep using it."""

import asyncio
import signal
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
    Instance,
    Run,
    configuration,
    route,
    run_case,
)

INSTANCES = 24
"""The 18 machines of the site and its 6 spare ones."""
SURVIVORS = 3
DRAIN_TIMEOUT_S = 2.0
"""`bounds.drain_timeout_ms`."""
POWER_OFF_S = 2.0
"""The longest one of `herd_kill` in the site's days."""
LEAVES_AFTER_S = 0.2
SERVES_ON_S = 8.0
"""A leaving engine serves for `drain_timeout_ms` "and a little longer (at times many seconds)"."""
REQUEST_INTERVAL_S = 0.03
KEY = "n2ctnfzs989anu6wsjnb"
ROUTES = [route("look", "safe", PLAIN_SERVICE, timeout_ms=2_000, attempts=2)]


async def work(engine: Engine, run: Run, writer: asyncio.StreamWriter) -> None:
    """Answer after the usual work."""
    await asyncio.sleep(0.02)
    await engine.answer(run, writer, b"done")


async def look(fleet: Fleet, address: str) -> int:
    """Send a lookup and return its status."""
    connection = await Connection.open(address)
    await connection.send("GET", "/look/1", fleet.request_headers(1_004, KEY))
    answer = await asyncio.wait_for(connection.receive(), 5)
    connection.close()
    return answer.status


async def restart(instances: list[Instance]) -> None:
    """Start machines again after their power loss."""
    await asyncio.sleep(POWER_OFF_S)
    for instance in instances:
        await instance.start()


async def play(fleet: Fleet) -> list[str]:
    """Cut the power of all machines but the last three, and take an engine away."""
    for number in range(3):
        await fleet.add_engine(f"i-desk{number}", PLAIN_SERVICE, work)
    tenant = {"name": "hule930", "api_keys": [KEY]}
    fleet.store.put("op", "config", configuration(7, ROUTES, [tenant]))
    await fleet.start_instances(INSTANCES)
    by_address = sorted(fleet.instances, key=lambda item: item.ip)
    others, survivors = by_address[:-SURVIVORS], by_address[-SURVIVORS:]
    addresses = [item.address("frontend") for item in survivors]
    if [await look(fleet, address) for address in addresses] != [200] * SURVIVORS:
        raise CaseNotRunError("a request was not served before the power loss")
    tasks = []
    if TROUBLE:
        for instance in others:
            instance.send_signal(signal.SIGKILL)
        tasks.append(asyncio.ensure_future(restart(others)))
    await asyncio.sleep(LEAVES_AFTER_S)
    leaving = next(item for item in fleet.engines.values() if item.zone == survivors[0].zone)
    gone_at = fleet.store.put("servers", leaving.engine_id, None)
    fleet.record.add("store", f"acknowledges that the entry of {leaving.engine_id} is removed")
    statuses: list[int] = []
    while fleet.record.now() < gone_at + SERVES_ON_S:
        statuses += await asyncio.gather(*(look(fleet, address) for address in addresses))
        await asyncio.sleep(REQUEST_INTERVAL_S)
    await asyncio.gather(*tasks)
    fleet.record.add("client", f"{statuses.count(200)} of {len(statuses)} lookups got 200")
    if statuses.count(200) < len(statuses) / 2:
        raise CaseNotRunError("the surviving instances did not serve")
    late = [run for run in leaving.runs if run.at > gone_at + DRAIN_TIMEOUT_S]
    if not late:
        return []
    return [
        f"DRAIN: {len(late)} requests reached {leaving.engine_id}"
        f" from {late[0].at - gone_at:.2f} s to"
        f" {late[-1].at - gone_at:.2f} s after its entry was removed"
    ]


run_case(Path(__file__).resolve().parent, play)
