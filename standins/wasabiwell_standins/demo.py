"""Demonstration: runs a deployment on the local machine and sends requests of all kinds."""

import sys
import time
from concurrent.futures import ThreadPoolExecutor

import click
import httpcore
import msgspec

from wasabiwell_standins.caller import ChatResult, chat, fetch_addresses, make_messages
from wasabiwell_standins.deployments import DEPLOYMENTS
from wasabiwell_standins.fleet import Fleet, request, running_fleet

PROMPT_TOKENS = {"short": 2_000, "medium": 30_000, "long": 150_000, "over two engines": 900_000}
REQUESTS_PER_LENGTH = {"short": 8, "medium": 4, "long": 2, "over two engines": 1}
BOOKINGS = 6


@click.command()
@click.option("--deployment", default="eaveline", type=click.Choice(sorted(DEPLOYMENTS)))
@click.option("--serve", type=click.Path(), help="Keep running and write a JSON description here.")
def main(deployment: str, serve: str | None) -> None:
    """Start a deployment, send requests through its entries and verify the responses."""
    started = time.monotonic()
    with running_fleet(DEPLOYMENTS[deployment], "--address-ttl-s", "2") as fleet:
        click.echo(
            f"{len(fleet.processes)} processes are ready, {time.monotonic() - started:.1f} s"
        )
        failures = _send_prompts(fleet) + _send_bookings(fleet)
        click.echo("all answers were right" if not failures else f"{failures} checks failed")
        if serve is not None:
            _serve_until_interrupted(fleet, serve)
    sys.exit(1 if failures else 0)


def _send_prompts(fleet: Fleet) -> int:
    """Send prompts of all lengths concurrently and return the number of wrong responses."""
    deployment = fleet.deployment
    keys = list(deployment.organisations.values())
    jobs = [(name, index) for name, count in REQUESTS_PER_LENGTH.items() for index in range(count)]

    def run(job: tuple[str, int]) -> tuple[str, ChatResult]:
        name, index = job
        zone = deployment.zones[index % len(deployment.zones)]
        address = fetch_addresses(fleet.entries[0].address, zone)[0]
        messages = make_messages(PROMPT_TOKENS[name], f"{name} {index}")
        key = keys[index % len(keys)]
        result = chat(address, key, deployment.engine_service, messages, 32)
        click.echo(f"  {name} prompt {index + 1}: answered after {result.total_s:.1f} s")
        return name, result

    with ThreadPoolExecutor(len(jobs)) as pool:
        results = list(pool.map(run, jobs))
    click.echo(f"{'prompt':<18}{'tokens':>9}{'requests':>10}{'first token, s':>16}{'wrong':>7}")
    failures = 0
    for name, tokens in PROMPT_TOKENS.items():
        group = [result for label, result in results if label == name]
        wrong = [result for result in group if result.error]
        failures += len(wrong)
        slowest = max(result.first_token_s for result in group)
        click.echo(f"{name:<18}{tokens:>9}{len(group):>10}{slowest:>16.3f}{len(wrong):>7}")
        for result in wrong:
            click.echo(f"  status {result.status}: {result.error}")
    return failures


def _send_bookings(fleet: Fleet) -> int:
    """Send each booking through two entry instances and return the number of failed checks.

    Both requests must succeed, and the booking must be executed exactly once.
    """
    deployment = fleet.deployment
    key = next(iter(deployment.organisations.values()))
    path = f"/v1/services/{deployment.booking_service}{deployment.booking_path}"
    failures = 0
    for index in range(BOOKINGS):
        headers = {"authorization": f"Bearer {key}", "idempotency-key": f"booking-{index}"}
        statuses = [
            request("POST", entry.address, path, {"crew": index}, headers).status
            for entry in fleet.entries[:2]
        ]
        failures += statuses != [201, 201]
    runs = booking_run_counts(fleet)
    failures += sum(count != 1 for count in runs.values()) + (len(runs) != BOOKINGS)
    click.echo(f"bookings made, each asked for twice: {runs}")
    return failures


def booking_run_counts(fleet: Fleet) -> dict[str, int]:
    """Return the execution count of each idempotency key over all booking targets."""
    url = ledger_url(fleet)
    with httpcore.ConnectionPool() as pool:
        runs: dict[str, int] = msgspec.json.decode(pool.request("GET", url).content)
    return runs


def ledger_url(fleet: Fleet) -> str:
    """Return the URL of the execution counts of all booking targets."""
    first, *others = [process.address for process in fleet.processes_with_role("plain")]
    return f"http://{first}/ledger?also={','.join(others)}"


def _serve_until_interrupted(fleet: Fleet, path: str) -> None:
    deployment = fleet.deployment
    description = {
        "addresses": [entry.address for entry in fleet.entries],
        "organisations": deployment.organisations,
        "operator_key": deployment.operator_key,
        "engine_services": [deployment.engine_service],
        "booking_service": deployment.booking_service,
        "booking_path": deployment.booking_path,
        "ledger_url": ledger_url(fleet),
        "processes": [
            {"role": item.role, "name": item.name, "pid": item.pid, "address": item.address}
            for item in fleet.processes
        ],
    }
    with open(path, "wb") as file:
        file.write(msgspec.json.format(msgspec.json.encode(description)) + b"\n")
    click.echo(f"serving; {path} describes the processes; press Ctrl-C to stop")
    try:
        while True:
            time.sleep(1.0)
    except KeyboardInterrupt:
        click.echo("stopping")


if __name__ == "__main__":
    main()
