"""Demonstration on the users' platform: a deployment that answers requests of all kinds."""

import tempfile
from collections import defaultdict
from pathlib import Path

import click
import trio

from wasabiwell_standins.users_platform.caller import Order, Reply
from wasabiwell_standins.users_platform.world import ZONES, World, WorldSize, open_world

COUNTS = {"short": 24, "medium": 6, "long": 3, "book": 8, "look": 8}
GIANT_PROMPT = 600_000
"""Larger than the memory of one engine."""


async def run_demo(size: WorldSize, folder: Path) -> list[str]:
    """Start a deployment, send orders of all kinds at once and return what was wrong."""
    async with open_world(size, folder) as world:
        click.echo(f"{len(world.entries)} entry processes are ready")
        orders = [world.order(route) for route, count in COUNTS.items() for _ in range(count)]
        orders.append(world.order("long", prompt=GIANT_PROMPT))
        replies = await send_all(world, orders)
        _print(replies)
        unanswered = [reply for reply in replies if reply.status != 200 or not reply.whole]
        wrong = [f"{item.order.path}: status {item.status}" for item in unanswered]
        return wrong + world.ledger.broken_promises()


async def send_all(world: World, orders: list[Order]) -> list[Reply]:
    """Send orders from callers in all zones at once and return the replies in the same order."""
    replies: dict[int, Reply] = {}
    callers = [world.caller(zone) for zone in ZONES]

    async def send(index: int, order: Order) -> None:
        replies[index] = await callers[index % len(callers)].send(order)

    async with trio.open_nursery() as nursery:
        for index, order in enumerate(orders):
            nursery.start_soon(send, index, order)
    return [replies[index] for index in range(len(orders))]


def _print(replies: list[Reply]) -> None:
    click.echo(f"{'path':<12}{'requests':>9}{'answered':>9}{'slowest first byte, ms':>24}")
    by_path = defaultdict(list)
    for reply in replies:
        by_path[reply.order.path].append(reply)
    for path, found in by_path.items():
        whole = [reply for reply in found if reply.status == 200 and reply.whole]
        slowest = max((reply.first_s or 0.0) * 1000 for reply in found)
        click.echo(f"{path:<12}{len(found):>9}{len(whole):>9}{slowest:>24.0f}")


@click.command()
def main() -> None:
    """Start a deployment on the users' platform, send requests and check the answers."""
    with tempfile.TemporaryDirectory() as folder:
        wrong = trio.run(run_demo, WorldSize(), Path(folder))
    for line in wrong:
        click.echo(line)
    click.echo(f"{len(wrong)} checks failed" if wrong else "all answers were right")
    raise SystemExit(1 if wrong else 0)


if __name__ == "__main__":
    main()
