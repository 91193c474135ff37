"""Chooses whether a request is sent to a target or through a peer."""

from dataclasses import dataclass

from wasabiwell_entry.coordination.forwarding.const import MAX_PEERS
from wasabiwell_entry.coordination.forwarding.progress import Progress
from wasabiwell_entry.coordination.placement import Placer
from wasabiwell_entry.coordination.placement.errors import NoPlacement, Placement
from wasabiwell_entry.coordination.reachability import RelayPeers, TargetReachability
from wasabiwell_entry.state.forwarding import ForwardedRequest, RelayPeer


@dataclass(frozen=True, slots=True)
class Direct:
    """This instance sends the request to a target."""

    placement: Placement


@dataclass(frozen=True, slots=True)
class ThroughPeer:
    """A peer sends the request to a target, as this instance reaches none."""

    peer: RelayPeer


class WayChooser:
    """Chooses the way of each attempt.

    Peers are used only while this instance is cut off from all targets. A request that a peer has
    relayed stays here, so that no request goes round. If no peer reaches a target either, the
    targets themselves are down and are tried directly.
    """

    __slots__ = ("_peers", "_placer", "_reachability")

    def __init__(self, placer: Placer, reachability: TargetReachability, peers: RelayPeers) -> None:
        self._placer = placer
        self._reachability = reachability
        self._peers = peers

    def choose(
        self, request: ForwardedRequest, progress: Progress, suspected: bool
    ) -> Direct | ThroughPeer | NoPlacement:
        """Return the way of the next attempt, or why there is none."""
        if self._reachability.cut_off:
            if request.relayed_by is not None:
                return NoPlacement("this instance reaches no target")
            if (peer := self._find_peer(progress)) is not None:
                return ThroughPeer(peer)
            if progress.peers:
                return NoPlacement(f"no further peer reaches a target: {progress.reason}")
        placement = self._placer.place(
            request,
            frozenset(progress.excluded),
            resumed=progress.response_started,
            suspected=suspected,
        )
        return placement if isinstance(placement, NoPlacement) else Direct(placement)

    def would_continue(self, request: ForwardedRequest, progress: Progress, target_id: str) -> bool:
        """Return whether another target than the given one would take over the request now."""
        if self._reachability.cut_off and request.relayed_by is None:
            return self._find_peer(progress) is not None
        return self._placer.would_take(request, frozenset({*progress.excluded, target_id}))

    def peer_would_continue(self, progress: Progress) -> bool:
        """Return whether another peer than those that were tried would take over now."""
        return not self._reachability.cut_off or self._find_peer(progress) is not None

    def _find_peer(self, progress: Progress) -> RelayPeer | None:
        if len(progress.peers) >= MAX_PEERS:
            return None
        return self._peers.choose(frozenset(progress.peers))
