"""Demonstration on the users' platform: a deployment that serves requests of all kinds."""

import tempfile
from collections import defaultdict
from pathlib import Path

import click
import trio

from wasabiwell_standins.users_platform.caller import CallerRequest, Reply
from wasabiwell_standins.users_platform.deployment import (
    ZONES,
    Deployment,
    DeploymentSize,
    open_deployment,
)

REQUEST_COUNTS = {"short": 24, "medium": 6, "long": 3, "book": 8, "look": 8}
OVERSIZED_PROMPT_TOKENS = 600_000
"""Exceeds the KV cache of one engine, so that helpers are needed."""


async def run_demo(size: DeploymentSize, folder: Path) -> list[str]:
    """Start a deployment, send requests of all kinds at once and return the failures."""
    async with open_deployment(size, folder) as deployment:
        click.echo(f"{len(deployment.entries)} entry processes are ready")
        requests = [
            deployment.request(route)
            for route, count in REQUEST_COUNTS.items()
            for _ in range(count)
        ]
        requests.append(deployment.request("long", prompt=OVERSIZED_PROMPT_TOKENS))
        replies = await send_all(deployment, requests)
        _print_table(replies)
        failed = [reply for reply in replies if reply.status != 200 or not reply.complete]
        failures = [f"{item.request.path}: status {item.status}" for item in failed]
        return failures + deployment.ledger.violations()


async def send_all(deployment: Deployment, requests: list[CallerRequest]) -> list[Reply]:
    """Send requests from callers in all zones at once; return the replies in the same order."""
    replies: dict[int, Reply] = {}
    callers = [deployment.caller(zone) for zone in ZONES]

    async def send(index: int, request: CallerRequest) -> None:
        replies[index] = await callers[index % len(callers)].send(request)

    async with trio.open_nursery() as nursery:
        for index, request in enumerate(requests):
            nursery.start_soon(send, index, request)
    return [replies[index] for index in range(len(requests))]


def _print_table(replies: list[Reply]) -> None:
    click.echo(f"{'path':<12}{'requests':>9}{'answered':>9}{'slowest first byte, ms':>24}")
    by_path = defaultdict(list)
    for reply in replies:
        by_path[reply.request.path].append(reply)
    for path, path_replies in by_path.items():
        complete = [reply for reply in path_replies if reply.status == 200 and reply.complete]
        slowest = max((reply.first_byte_s or 0.0) * 1000 for reply in path_replies)
        click.echo(f"{path:<12}{len(path_replies):>9}{len(complete):>9}{slowest:>24.0f}")


@click.command()
def main() -> None:
    """Start a deployment on the users' platform, send requests and check the responses."""
    with tempfile.TemporaryDirectory() as folder:
        failures = trio.run(run_demo, DeploymentSize(), Path(folder))
    for line in failures:
        click.echo(line)
    click.echo(f"{len(failures)} checks failed" if failures else "all answers were right")
    raise SystemExit(1 if failures else 0)


if __name__ == "__main__":
    main()
