"""All keys of the only tenant are taken away; requests must be refused from then on."""

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
    route,
    run_case,
)

CONFIG_APPLY_S = 2.0
"""`bounds.config_apply_ms`."""
MARGIN_S = 3.0
"""Further time, so that no delay of this machine matters."""
KEY = "n2ctnfzs989anu6wsjnb"
NEVER_ISSUED_KEY = "zz0000000000000000zz"
ROUTES = [
    route("book", "unsafe", PLAIN_SERVICE, timeout_ms=2_000),
    route("look", "safe", PLAIN_SERVICE, timeout_ms=2_000, attempts=2),
]


async def work(engine: Engine, run: Run, writer: asyncio.StreamWriter) -> None:
    """Answer at once."""
    await engine.answer(run, writer, f"done {run.request_id}".encode())


async def call(fleet: Fleet, address: str, key: str | None, label: str) -> tuple[int, str, bool]:
    """Send a booking; return status, tenant that the engine got, and whether it ran."""
    headers = fleet.request_headers(1_004, key)
    request_id = headers["Wasabiwell-Request-Id"]
    connection = await Connection.open(address)
    fleet.record.add("client", f"sends booking {request_id} to {address} with {label}")
    await connection.send("POST", "/book/1", headers, [b"{}"])
    answer = await asyncio.wait_for(connection.receive(), 5)
    connection.close()
    runs = fleet.runs(request_id)
    tenant = runs[0].headers.get("wasabiwell-tenant", "none") if runs else ""
    fleet.record.add("client", f"{request_id}: status {answer.status}, ran {len(runs)} times")
    return answer.status, tenant, bool(runs)


async def play(fleet: Fleet) -> list[str]:
    """Take the keys away and send requests with the old key, another one and none."""
    for number in range(3):
        await fleet.add_engine(f"i-desk{number}", PLAIN_SERVICE, work)
    tenant = {"name": "hule930", "api_keys": [KEY]}
    fleet.store.put("op", "config", configuration(7, ROUTES, [tenant]))
    await fleet.start_instances(3)
    for instance in fleet.instances:
        address = instance.address("frontend")
        if (await call(fleet, address, KEY, "the tenant's key"))[:2] != (200, "hule930"):
            raise CaseNotRunError("the tenant's own request was not served")
        if (await call(fleet, address, NEVER_ISSUED_KEY, "a key never issued"))[0] != 401:
            raise CaseNotRunError("an unknown key was not refused")
    if TROUBLE:
        tenant = {"name": "hule930", "api_keys": []}
        version = 12
    else:
        tenant = {"name": "hule930", "api_keys": ["anfqasnmgkcuyj8pjbvk"]}
        version = 12
    fleet.store.put("op", "config", configuration(version, ROUTES, [tenant]))
    fleet.record.add("store", f"acknowledges version {version}, tenant {tenant}")
    await asyncio.sleep(CONFIG_APPLY_S + MARGIN_S)
    violations = []
    for instance in fleet.instances:
        address = instance.address("frontend")
        for key, label, rule in (
            (KEY, "the key that was taken away", "CONFIG: ran with a dropped key"),
            (NEVER_ISSUED_KEY, "a key never issued", "ROUTE: ran with a key of no configuration"),
            (None, "no key", "ROUTE: ran without a key"),
        ):
            status, _, ran = await call(fleet, address, key, label)
            if ran:
                violations.append(f"{rule}, at {instance.name}, status {status}")
    return violations


run_case(Path(__file__).resolve().parent, play)
