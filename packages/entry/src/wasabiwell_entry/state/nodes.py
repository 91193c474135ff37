"""Table of the other entry instances, built from the datagrams that they send."""

from bisect import insort
from collections.abc import Iterator
from dataclasses import dataclass
from operator import attrgetter

import msgspec

from wasabiwell_entry.state.exchange import NodeState, RetryBudgetUse


@dataclass(slots=True, eq=False)
class Node:
    """Another entry instance, by its datagram address.

    `heard` is the time of the last message from it in monotonic seconds. `state` is None until its
    first state has arrived. After `silence_timeout` seconds without a message it counts as
    unreachable. `lost` is set when one of its monitors has reported it as silent and no message has
    arrived from it since.
    """

    address: str
    known_since: float
    heard: float | None = None
    state: NodeState | None = None
    silence_timeout: float = 0.0
    lost: bool = False

    def silence(self, now: float) -> float:
        """Return the seconds since its last message, or since it was added if there was none."""
        return now - (self.heard if self.heard is not None else self.known_since)


class NodeTable:
    """Other entry instances by datagram address; one entry instance owns one table.

    A list sorted by address is maintained, because each message needs it: sorting 100 nodes each
    time took a tenth of an idle instance's CPU time.
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
        """Return an entry instance, or None when it is unknown."""
        return self._nodes.get(address)

    def put(self, address: str, now: float) -> Node:
        """Return the entry instance at an address, adding it when it is unknown."""
        node = self._nodes.get(address)
        if node is None:
            node = self._nodes[address] = Node(address, now)
            insort(self._ordered, node, key=attrgetter("address"))
        return node

    def record_contact(self, address: str, now: float) -> None:
        """Record the arrival of a message from an entry instance; ignored until its first state."""
        node = self._nodes.get(address)
        if node is not None and node.state is not None:
            node.heard = now
            node.lost = False

    def count_retry(self, address: str, service: str) -> None:
        """Count a retry that an entry instance made after its last state."""
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
        """Return the counts of requests and retries that each instance has sent."""
        return [node.state.uses for node in self if node.state is not None]

    def remove(self, address: str) -> None:
        """Remove an entry instance; unknown addresses are ignored."""
        node = self._nodes.pop(address, None)
        if node is not None:
            self._ordered.remove(node)

    def heard(self) -> list[Node]:
        """Return the nodes that have sent a message and are not lost, in the order of addresses."""
        return [node for node in self._ordered if node.heard is not None and not node.lost]

    def reachable(self, now: float) -> list[Node]:
        """Return the nodes that have sent a message within their silence timeout.

        They are in the order of addresses; `now` is a monotonic time in seconds.
        """
        return [
            node
            for node in self._ordered
            if node.heard is not None and not node.lost and now - node.heard <= node.silence_timeout
        ]
