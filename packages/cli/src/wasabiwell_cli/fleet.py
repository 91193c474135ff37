"""Requests to all entry instances of a deployment."""

from concurrent.futures import ThreadPoolExecutor
from typing import Any

from wasabiwell_cli.client import AdminClient, Reply, ReplyLost, Unreachable
from wasabiwell_cli.const import EXIT_NOT_FOUND, MAX_PARALLEL_REQUESTS
from wasabiwell_cli.errors import CommandError

Outcome = Reply | Unreachable | ReplyLost


def members(client: AdminClient) -> list[dict[str, Any]]:
    """Return the members that the first answering entry instance lists, by node id."""
    listed: list[dict[str, Any]] = client.read("status")["members"]
    return sorted(listed, key=lambda member: str(member["node_id"]))


def member_address(client: AdminClient, node_id: str) -> str:
    """Return the caller address of a member; raises `CommandError` when it is not known."""
    for member in members(client):
        if member["node_id"] == node_id:
            return str(member["caller_address"])
    raise CommandError(EXIT_NOT_FOUND, f"no entry instance has the id {node_id}")


def send_to_all(
    client: AdminClient, addresses: list[str], method: str, path: str
) -> list[tuple[str, Outcome]]:
    """Send a request to each address, several at once, and return the outcomes in order."""
    with ThreadPoolExecutor(MAX_PARALLEL_REQUESTS) as pool:
        outcomes = pool.map(lambda address: client.send_to(address, method, path), addresses)
        return list(zip(addresses, outcomes, strict=True))
