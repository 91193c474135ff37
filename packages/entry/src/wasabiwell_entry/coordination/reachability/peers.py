"""Chooses the peer through which a request reaches a target."""

from collections.abc import Callable
from random import Random

from wasabiwell_entry.coordination.reachability.const import MIN_NEAR_SHARE
from wasabiwell_entry.state.forwarding import RelayPeer
from wasabiwell_entry.state.nodes import Node


class RelayPeers:
    """Chooses among the reachable peers that serve callers and reach targets."""

    __slots__ = ("_evacuated", "_peers", "_random", "_zone")

    def __init__(
        self,
        peers: Callable[[], list[Node]],
        zone: str,
        random: Random | None = None,
        evacuated: Callable[[], bool] = lambda: False,
    ) -> None:
        """Take a function that returns the peers that have not timed out, and the own zone.

        `evacuated` returns whether any zone is evacuated; peers of an older build, which use the
        targets of such zones, are left out then.
        """
        self._evacuated = evacuated
        self._peers = peers
        self._zone = zone
        self._random = random or Random()

    def choose(self, excluded: frozenset[str]) -> RelayPeer | None:
        """Return a peer, in the own zone unless most of its instances are cut off, too.

        `excluded` are the addresses of peers that failed. The choice is by chance, so that the
        requests of many instances spread; few near peers could not take those of a whole zone.
        """
        states = [
            (node.address, node.state)
            for node in self._peers()
            if node.state is not None and node.state.serving and not node.state.leaving
        ]
        evacuated = self._evacuated()
        usable = [
            RelayPeer(address, state.control_address, state.zone)
            for address, state in states
            if state.reaches_targets is True and address not in excluded
            if state.features or not evacuated
        ]
        near = [peer for peer in usable if peer.zone == self._zone]
        instances_in_zone = 1 + sum(state.zone == self._zone for _, state in states)
        candidates = near if len(near) >= MIN_NEAR_SHARE * instances_in_zone else usable
        return self._random.choice(candidates) if candidates else None
