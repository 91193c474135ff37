"""Chooses the peer through which a request reaches a target."""

from collections.abc import Callable
from random import Random

from wasabiwell_entry.state.forwarding import RelayPeer
from wasabiwell_entry.state.nodes import Node


class RelayPeers:
    """Chooses among the reachable peers that serve callers and reach targets."""

    __slots__ = ("_peers", "_random", "_zone")

    def __init__(
        self, peers: Callable[[], list[Node]], zone: str, random: Random | None = None
    ) -> None:
        """Take a function that returns the peers that have not timed out, and the own zone."""
        self._peers = peers
        self._zone = zone
        self._random = random or Random()

    def choose(self, excluded: frozenset[str]) -> RelayPeer | None:
        """Return a peer in the own zone, or in another one if none is there.

        `excluded` are the addresses of peers that failed. The choice is by chance, so that the
        requests of many instances spread.
        """
        states = [
            (node.address, node.state)
            for node in self._peers()
            if node.state is not None and node.address not in excluded
        ]
        usable = [
            RelayPeer(address, state.control_address, state.zone)
            for address, state in states
            if state.serving and not state.leaving and state.reaches_targets is True
        ]
        near = [peer for peer in usable if peer.zone == self._zone]
        candidates = near or usable
        return self._random.choice(candidates) if candidates else None
