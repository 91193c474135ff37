"""Steps for the admin API, called as an ASGI application."""

from dataclasses import dataclass, field, replace
from typing import Any

import trio
from behave import given, then, when
from behave.runner import Context
from wasabiwell_config import (
    Configuration,
    ModelService,
    OperatorKey,
    hash_key,
    items_of,
    make_organisations,
)
from wasabiwell_entry.coordination.operations import OperationsCoordinator
from wasabiwell_entry.coordination.operations.errors import Done, NotFound
from wasabiwell_entry.instance import open_instance
from wasabiwell_entry.settings import Settings
from wasabiwell_entry.state.clock import SystemClock
from wasabiwell_entry.state.reports import SuspectFigures
from wasabiwell_entry.state.targets import Target, TargetKind
from wasabiwell_entry.transport.http.server import application
from wasabiwell_standins.fleet import free_ports

CONFIGURATION = Configuration(
    model_services=(ModelService(name="ice-advisor"),),
    organisations=make_organisations({"lowell-crews": hash_key("caller")}),
    operators=(OperatorKey(name="operations", key_hash=hash_key("operator")),),
)


@dataclass(slots=True)
class FakeQuarantine:
    """An in-memory quarantine."""

    fingerprints: set[str]

    def suspect_figures(self) -> tuple[SuspectFigures, ...]:
        """Return all fingerprints as quarantined."""
        return tuple(SuspectFigures(name, ("a", "b"), True) for name in self.fingerprints)

    async def release(self, fingerprint: str) -> Done | NotFound:
        """Release a fingerprint if it is quarantined."""
        await trio.lowlevel.checkpoint()
        if fingerprint not in self.fingerprints:
            return NotFound(f"{fingerprint} is not quarantined")
        self.fingerprints.remove(fingerprint)
        return Done()


@dataclass(slots=True)
class AdminCase:
    """Initial state of the entry instance, and the requests that it receives."""

    configured: bool
    quarantine: FakeQuarantine | None = None
    targets: list[str] = field(default_factory=list)
    requests: list[tuple[str, str, str]] = field(default_factory=list)


def settings() -> Settings:
    """Return settings with an unreachable platform."""
    ports = free_ports(3)
    url = f"http://127.0.0.1:{ports[2]}"
    return Settings(
        node_id="entry-0",
        region="new-england",
        zone="merrimack",
        caller_address=f"127.0.0.1:{ports[0]}",
        peer_address=f"127.0.0.1:{ports[1]}",
        table_url=url,
        object_url=url,
        instance_url=url,
        bootstrap_key_hash=hash_key("bootstrap"),
    )


async def send(app: Any, host: str, request: str, key: str) -> int:
    """Send a request without a body and return the status code of the response."""
    method, _, path = request.partition(" ")
    path, _, query = path.partition("?")
    headers = [] if key == "none" else [(b"authorization", f"Bearer {key}".encode())]
    scope = {
        "type": "http",
        "method": method,
        "raw_path": f"/admin/v1/{path}".encode(),
        "query_string": query.encode(),
        "headers": headers,
        "client": (host, 50_000),
    }
    sent: list[dict[str, Any]] = []

    async def receive() -> dict[str, Any]:
        await trio.lowlevel.checkpoint()
        return {"type": "http.request", "body": b"", "more_body": False}

    async def collect(message: dict[str, Any]) -> None:
        await trio.lowlevel.checkpoint()
        sent.append(message)

    await app(scope, receive, collect)
    return int(sent[0]["status"])


async def run_case(case: AdminCase) -> tuple[list[int], dict[str, bool]]:
    """Return the status code of each request, and which targets are leaving at the end."""
    async with open_instance(settings(), SystemClock()) as instance:
        http = instance.http
        if case.configured:
            assert http.configuration.replace(1, items_of(CONFIGURATION)) is None
        sources = replace(http.operations.sources, quarantine=case.quarantine)
        for name in case.targets:
            sources.targets.put(
                Target(name, TargetKind.ENGINE, "ice-advisor", "127.0.0.1:1", "r", "z")
            )
        app = application(replace(http, operations=OperationsCoordinator(sources)))
        statuses = [await send(app, *request) for request in case.requests]
        leaving = {status.target.target_id: status.leaving for status in sources.targets}
    return statuses, leaving


@given("an entry instance without a configuration")
def step_unconfigured(context: Context) -> None:
    context.case = AdminCase(configured=False)


@given("an entry instance with a configuration")
def step_configured(context: Context) -> None:
    context.case = AdminCase(configured=True)


@given('an entry instance with a configuration and a quarantine of "{fingerprint}"')
def step_quarantine(context: Context, fingerprint: str) -> None:
    context.case = AdminCase(configured=True, quarantine=FakeQuarantine({fingerprint}))


@given('the entry instance has the target "{name}"')
def step_target(context: Context, name: str) -> None:
    context.case.targets.append(name)


@when('the admin caller {host} sends "{request}" with the key "{key}"')
def step_send(context: Context, host: str, request: str, key: str) -> None:
    case = context.case
    case.requests.append((host, request, key))
    if case.quarantine is not None:
        case.quarantine.fingerprints = {"f1"}
    context.statuses, context.leaving = trio.run(run_case, case)


@then("the admin API responds with {status:d}")
def step_status(context: Context, status: int) -> None:
    assert context.statuses[-1] == status, context.statuses


@then('the target "{name}" is leaving')
def step_leaving(context: Context, name: str) -> None:
    assert context.leaving[name]
