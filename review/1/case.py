"""The keys of all tenants are taken away in turn; requests must be refused from then on."""

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
GAP_S = 1.5
"""Between the keys that are taken away, as in the site's days; three are, as many as there."""
KEYS = {
    "hule930": "n2ctnfzs989anu6wsjnb",
    "mave417": "anfqasnmgkcuyj8pjbvk",
    "sori052": "k3vd8xqpe0w7rtyb2mza",
}
NEW_KEY = "w9c1hzj5u6gfs4ol8xre"
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


def tenants(keys: dict[str, str]) -> list[dict[str, object]]:
    """Return all tenants with the keys that they still have."""
    return [{"name": name, "api_keys": [keys[name]] if name in keys else []} for name in KEYS]


async def play(fleet: Fleet) -> list[str]:
    """Take the keys away and send requests with the old keys, another one and none."""
    for number in range(3):
        await fleet.add_engine(f"i-desk{number}", PLAIN_SERVICE, work)
    version = 7
    fleet.store.put("op", "config", configuration(version, ROUTES, tenants(KEYS)))
    await fleet.start_instances(3)
    for instance in fleet.instances:
        address = instance.address("frontend")
        for name, key in KEYS.items():
            if (await call(fleet, address, key, f"the key of {name}"))[:2] != (200, name):
                raise CaseNotRunError("a tenant's own request was not served")
        if (await call(fleet, address, NEVER_ISSUED_KEY, "a key never issued"))[0] != 401:
            raise CaseNotRunError("an unknown key was not refused")
    left = dict(KEYS)
    for name in KEYS:
        del left[name]
        if not left and not TROUBLE:
            left[name] = NEW_KEY
        version += 5
        fleet.store.put("op", "config", configuration(version, ROUTES, tenants(left)))
        fleet.record.add("store", f"acknowledges version {version}, keys left: {left}")
        await asyncio.sleep(GAP_S)
    await asyncio.sleep(CONFIG_APPLY_S + MARGIN_S)
    violations = []
    for instance in fleet.instances:
        address = instance.address("frontend")
        for key, label, rule in (
            *(
                (key, f"the old key of {name}", "CONFIG: a dropped key")
                for name, key in KEYS.items()
            ),
            (NEVER_ISSUED_KEY, "a key never issued", "ROUTE: a key of no configuration"),
            (None, "no key", ""),
        ):
            status, _, ran = await call(fleet, address, key, label)
            if ran and rule:
                violations.append(f"{rule} ran at {instance.name}, status {status}")
    return violations


run_case(Path(__file__).resolve().parent, play)
