"""Entry instances that this one hears by datagrams."""

from bisect import insort
from collections.abc import Iterator
from dataclasses import dataclass
from operator import attrgetter

import msgspec

from wasabiwell_entry.state.exchange import NodeState, RetryBudgetUse


@dataclass(slots=True, eq=False)
class Node:
    """Another entry instance by its datagram address; `heard` is in monotonic seconds.

    `state` is None until its first state has arrived. `silence_timeout` is the time in seconds
    after which it counts as gone. `lost` tells that an instance which watches it has reported its
    silence, and that nothing was heard of it since.
    """

    address: str
    known_since: float
    heard: float | None = None
    state: NodeState | None = None
    silence_timeout: float = 0.0
    lost: bool = False

    def silence(self, now: float) -> float:
        """Return the seconds since it was heard, or since it is known."""
        return now - (self.heard if self.heard is not None else self.known_since)


class NodeTable:
    """Other entry instances by datagram address; one entry instance owns one table.

    Each message asks for them in the order of addresses, so this order is kept: sorting 100 of them
    each time took a tenth of an idle instance's processor time.
    """

    __slots__ = ("_nodes", "_ordered")

    def __init__(self) -> None:
        self._nodes: dict[str, Node] = {}
        self._ordered: list[Node] = []

    def __len__(self) -> int:
        return len(self._nodes)

    def __iter__(self) -> Iterator[Node]:
        return iter(list(self._ordered))

    def get(self, address: str) -> Node | None:
        """Return an entry instance, or None when it is not known."""
        return self._nodes.get(address)

    def put(self, address: str, now: float) -> Node:
        """Return the entry instance at an address, which is added when it is not known."""
        node = self._nodes.get(address)
        if node is None:
            node = self._nodes[address] = Node(address, now)
            insort(self._ordered, node, key=attrgetter("address"))
        return node

    def record_contact(self, address: str, now: float) -> None:
        """Note that a message of an entry instance arrived whose state is known."""
        node = self._nodes.get(address)
        if node is not None and node.state is not None:
            node.heard = now
            node.lost = False

    def count_retry(self, address: str, service: str) -> None:
        """Count a repeat that an entry instance made after its last state."""
        node = self._nodes.get(address)
        if node is None or node.state is None:
            return
        uses = tuple(
            msgspec.structs.replace(use, retries=use.retries + 1) if use.service == service else use
            for use in node.state.uses
        )
        if all(use.service != service for use in uses):
            uses = (*uses, RetryBudgetUse(service, 0, 1))
        node.state = msgspec.structs.replace(node.state, uses=uses)

    def uses(self) -> list[tuple[RetryBudgetUse, ...]]:
        """Return what each has counted of the requests and repeats of services."""
        return [node.state.uses for node in self if node.state is not None]

    def remove(self, address: str) -> None:
        """Remove an entry instance when it is known."""
        node = self._nodes.pop(address, None)
        if node is not None:
            self._ordered.remove(node)

    def heard(self) -> list[Node]:
        """Return those that were heard and are not lost, in the order of addresses."""
        return [node for node in self._ordered if node.heard is not None and not node.lost]

    def reachable(self, now: float) -> list[Node]:
        """Return those that were heard within their allowed silence, in the order of addresses.

        `now` is a monotonic time in seconds.
        """
        return [
            node
            for node in self._ordered
            if node.heard is not None and not node.lost and now - node.heard <= node.silence_timeout
        ]
