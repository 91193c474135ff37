"""Tells the other entry instances what happens here, and takes over what they tell."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

import trio

from wasabiwell_entry.coordination.exchange.const import (
    KNOWN_PEERS_SHARE,
    LISTED_TIMEOUT,
    LISTING_SENDERS,
    REGISTERED_INSTANCES,
    SILENT_INTERVALS,
    SWEEP_INTERVAL,
)
from wasabiwell_entry.coordination.exchange.monitors import MonitorRing
from wasabiwell_entry.coordination.exchange.placements import placed_by_notice
from wasabiwell_entry.coordination.exchange.ports import NodeDirectory, NoticePort
from wasabiwell_entry.coordination.exchange.registration import Registration
from wasabiwell_entry.coordination.exchange.sender import StateSender
from wasabiwell_entry.coordination.exchange.watch import PeerWatch, loss_of
from wasabiwell_entry.coordination.exchange.zone_locality import Audience, ZoneLocality
from wasabiwell_entry.state import log_events
from wasabiwell_entry.state.clock import Clock
from wasabiwell_entry.state.exchange import (
    DecodeStarted,
    HelperLoss,
    ListingNotice,
    NodeAddresses,
    NodeState,
    Notice,
    PeerLoss,
    RequestEnded,
    RequestPlaced,
    RetryNotice,
    SlowdownNotice,
    Suspicion,
    WatchRequest,
)
from wasabiwell_entry.state.members import Member
from wasabiwell_entry.state.nodes import Node, NodeTable
from wasabiwell_entry.state.work import WorkTable


@dataclass(frozen=True, slots=True)
class ExchangeObservers:
    """Receivers of what other entry instances tell, apart from placements.

    `routes_announced` takes the control address of a peer. `full_listing` returns what a peer is
    told that does not know any target, or None. `helper_lost` takes the id of a target.
    `suspicions` returns what a peer is told that was not heard before or for long, and
    `recent_suspicions` what is repeated with each state, as a message may be lost.
    """

    request_ended: Callable[[RequestEnded], None]
    helper_lost: Callable[[str], None]
    suspicion_received: Callable[[Suspicion], None]
    suspicions: Callable[[], Iterable[Suspicion]]
    recent_suspicions: Callable[[], Iterable[Suspicion]]
    listing_received: Callable[[str, ListingNotice], None]
    routes_announced: Callable[[str, int], None]
    full_listing: Callable[[], ListingNotice | None]


class ExchangeCoordinator:
    """Keeps the node table of one entry instance; one task sends states to each peer.

    In a small fleet all instances watch each other. In a large one a few monitors watch each
    instance and report its silence to all; the others get its states seldom.
    """

    __slots__ = (
        "_cells",
        "_clock",
        "_nodes",
        "_nursery",
        "_observers",
        "_own_address",
        "_own_state",
        "_port",
        "_registration",
        "_seeds",
        "_sender",
        "_sending",
        "_watch",
        "_works",
    )

    def __init__(
        self,
        own_address: str,
        own_state: Callable[[], NodeState],
        nodes: NodeTable,
        works: WorkTable,
        zone_locality: ZoneLocality,
        port: NoticePort,
        directory: NodeDirectory,
        observers: ExchangeObservers,
        seeds: tuple[str, ...],
        clock: Clock,
    ) -> None:
        self._own_address = own_address
        self._own_state = own_state
        self._nodes = nodes
        self._works = works
        self._cells = zone_locality
        self._port = port
        self._observers = observers
        self._seeds = seeds
        self._clock = clock
        ring = MonitorRing(own_address)
        self._sender = StateSender(
            own_address,
            own_state,
            observers.recent_suspicions,
            nodes,
            zone_locality,
            ring,
            port,
            clock,
        )
        self._watch = PeerWatch(nodes, works, ring, self._sender, port, self.broadcast)
        self._registration = Registration(
            own_address, directory, self.rank, lambda: not self.peers(), self.add_peer, clock
        )
        self._sending: set[str] = set()
        self._nursery: trio.Nursery | None = None

    def peers(self) -> list[Node]:
        """Return the peers that are heard, in the order of addresses."""
        return self._nodes.reachable(self._now())

    def alive(self) -> list[Member]:
        """Return the entry instances that callers may use, this one included.

        When no peer is heard, those are returned that were heard before.
        """
        now = self._now()
        nodes = self.peers() or [
            node
            for node in self._nodes.heard()
            if node.silence(now) <= LISTED_TIMEOUT.total_seconds()
        ]
        states = [(node.address, node.state) for node in nodes if node.state is not None]
        states.append((self._own_address, self._own_state()))
        return [_member(address, state) for address, state in states if state.serving]

    def rank(self) -> int:
        """Return the place of this instance among those that are heard, by address, from 0."""
        return sum(1 for node in self.peers() if node.address < self._own_address)

    def broadcast(self, notice: Notice) -> None:
        """Send a message to the peers that are heard and that it concerns."""
        match self._cells.audience(notice, self._now()):
            case Audience.ALL:
                self._port.send([node.address for node in self.peers()], notice)
            case Audience.ZONE:
                self._port.send([node.address for node in self._zone_peers()], notice)
            case Audience.NOBODY:
                pass

    def _zone_peers(self) -> list[Node]:
        return [
            node
            for node in self.peers()
            if node.state is not None and self._cells.is_own(node.state.zone)
        ]

    def broadcast_state(self) -> None:
        """Send the state to all peers at once, after a change that they should know of."""
        self._sender.send_to_all()

    async def run(self) -> None:
        """Exchange messages until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            for seed in self._seeds:
                self.add_peer(seed)
            nursery.start_soon(self._port.receive, self)
            nursery.start_soon(self._registration.run)
            while True:
                self._sweep()
                await self._clock.sleep(SWEEP_INTERVAL)

    def receive(self, sender: str, notice: Notice) -> None:
        """Take over a message of a peer."""
        if sender == self._own_address:
            return
        now = self._now()
        if not isinstance(notice, NodeState):
            self._note_return(sender, now)
            self._nodes.record_contact(sender, now)
        match notice:
            case RequestPlaced(notice=placing):
                self._works.add(placed_by_notice(sender, placing, now), now)
            case DecodeStarted(request_id=request_id):
                self._works.start_decode(request_id, now)
            case SlowdownNotice(target_id=target_id, slowdown=pace):
                if (work := self._works.get(target_id)) is not None:
                    work.advance(now)
                    work.slowdown = pace
            case RequestEnded() as ending:
                self._works.remove(ending.request_id, now)
                self._observers.request_ended(ending)
            case HelperLoss(target_id=target_id):
                self._observers.helper_lost(target_id)
            case PeerLoss(address=address) if address == self._own_address:
                self._watch.answer_loss(now)
            case PeerLoss() as loss:
                self._watch.receive_loss(loss, now)
            case WatchRequest():
                self._watch.receive_request(sender, now)
            case RetryNotice(service=service):
                self._nodes.count_retry(sender, service)
            case Suspicion() as suspicion:
                self._observers.suspicion_received(suspicion)
            case ListingNotice() as listing:
                self._observers.listing_received(sender, listing)
            case NodeState() as state:
                self._receive_state(sender, state, now)
            case NodeAddresses(addresses=addresses):
                for address in addresses:
                    self.add_peer(address)

    def _receive_state(self, sender: str, state: NodeState, now: float) -> None:
        unknown = self._nodes.get(sender) is None
        began = self.add_peer(sender)
        node = self._nodes.put(sender, now)
        known = node.state
        if known is not None and (state.incarnation, state.sequence) <= (
            known.incarnation,
            known.sequence,
        ):
            return
        if known is None or state.incarnation != known.incarnation:
            log_events.emit(log_events.PEER_HEARD, peer=sender, zone=state.zone)
            self._works.retain(sender, frozenset(), now)
            if not began:
                self._sender.send_to(sender)
            self._tell_suspicions(sender)
        self._note_return(sender, now)
        node.heard, node.state, node.lost = now, state, False
        node.silence_timeout = SILENT_INTERVALS * state.interval_ms / 1000
        self._works.retain(sender, frozenset(state.placed), now)
        self._observers.routes_announced(state.control_address, state.routes_version)
        self._introduce(sender, state, unknown)

    def _introduce(self, sender: str, state: NodeState, unknown: bool) -> None:
        """Tell a peer what it lacks: other instances and the list of targets."""
        if unknown or self._lacks_peers(state):
            self._port.send([sender], NodeAddresses(tuple(node.address for node in self.peers())))
        if not state.knows_targets and self.rank() < LISTING_SENDERS:
            listing = self._observers.full_listing()
            if listing is not None:
                self._port.send([sender], listing)

    def _lacks_peers(self, state: NodeState) -> bool:
        """Return whether a peer hears few others and is to be told of them by this instance."""
        if state.peers >= len(self._nodes) * KNOWN_PEERS_SHARE:
            return False
        asked = self._own_address in self._seeds or self.rank() < REGISTERED_INSTANCES
        return asked and state.peers < len(self.peers()) * KNOWN_PEERS_SHARE

    def _note_return(self, sender: str, now: float) -> None:
        """Note that a peer is heard which was silent for long."""
        node = self._nodes.get(sender)
        if node is None or node.heard is None or node.state is None:
            return
        if not node.lost and node.silence(now) <= node.silence_timeout:
            return
        log_events.emit(log_events.PEER_HEARD, peer=sender, zone=node.state.zone)
        self._tell_suspicions(sender)
        if node.lost:
            # Those that do not watch it have to hear it too; its next state to them is far off.
            self._port.send([sender], loss_of(node.address, node.state))

    def _tell_suspicions(self, address: str) -> None:
        """Tell a peer of requests that crash targets, of which it may not have heard."""
        for suspicion in self._observers.suspicions():
            self._port.send([address], suspicion)

    def add_peer(self, address: str) -> bool:
        """Add a peer and start the task that sends it states; return False when it is known."""
        if address == self._own_address or address in self._sending or self._nursery is None:
            return False
        self._nodes.put(address, self._now())
        self._sending.add(address)
        self._nursery.start_soon(self._send_states, address)
        return True

    async def _send_states(self, address: str) -> None:
        try:
            await self._sender.send(address)
        finally:
            self._sending.discard(address)

    def _sweep(self) -> None:
        """Drop what silent peers have placed and what ended unheard."""
        now = self._now()
        if self._cells.large_fleet:
            self._watch.look(now)
        for node in self._nodes.heard():
            silence = node.silence(now)
            if 0 <= silence - node.silence_timeout < SWEEP_INTERVAL.total_seconds():
                log_events.emit(
                    log_events.PEER_SILENT, peer=node.address, silence_s=round(silence, 2)
                )
                self._works.retain(node.address, frozenset(), now)
        self._works.expire(now)
        for placing in self._cells.overdue_calls(now):
            self._port.send([node.address for node in self._zone_peers()], placing)

    def _now(self) -> float:
        return self._clock.monotonic().total_seconds()


def _member(address: str, state: NodeState) -> Member:
    return Member(
        node_id=address,
        incarnation=state.incarnation,
        region=state.region,
        zone=state.zone,
        caller_address=state.caller_address,
        peer_address=address,
    )
