"""Lookup of and requests to all entry instances of a deployment."""

from concurrent.futures import ThreadPoolExecutor
from typing import Any

from wasabiwell_cli.client import AdminClient, AdminResponse, ResponseLost, Unreachable
from wasabiwell_cli.const import EXIT_NOT_FOUND, MAX_PARALLEL_REQUESTS
from wasabiwell_cli.errors import CommandError

Outcome = AdminResponse | Unreachable | ResponseLost


def list_members(client: AdminClient) -> list[dict[str, Any]]:
    """Return the members known to the first entry instance that responds, sorted by node id."""
    members: list[dict[str, Any]] = client.get_json("status")["members"]
    return sorted(members, key=lambda member: str(member["node_id"]))


def member_address(client: AdminClient, node_id: str) -> str:
    """Return the caller address of a member; raises `CommandError` if there is none."""
    for member in list_members(client):
        if member["node_id"] == node_id:
            return str(member["caller_address"])
    raise CommandError(EXIT_NOT_FOUND, f"no entry instance has the id {node_id}")


def send_to_all(
    client: AdminClient, addresses: list[str], method: str, path: str
) -> list[tuple[str, Outcome]]:
    """Send a request to all addresses in parallel and return the outcomes in the same order."""
    with ThreadPoolExecutor(MAX_PARALLEL_REQUESTS) as pool:
        outcomes = pool.map(lambda address: client.send_to(address, method, path), addresses)
        return list(zip(addresses, outcomes, strict=True))
