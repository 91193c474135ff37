"""Sends local events to the other entry instances and applies the messages received from them."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

import trio

from wasabiwell_entry.coordination.exchange.const import (
    ISOLATED_LISTING_TIMEOUT,
    KNOWN_PEERS_FRACTION,
    PACE_SAMPLE_FEATURES,
    PEER_TIMEOUT_INTERVALS,
    SERVING_CHECK_INTERVAL,
    SWEEP_INTERVAL,
)
from wasabiwell_entry.coordination.exchange.failure_detector import FailureDetector, peer_loss
from wasabiwell_entry.coordination.exchange.monitors import MonitorRing
from wasabiwell_entry.coordination.exchange.own_state import OwnState
from wasabiwell_entry.coordination.exchange.placements import placed_from_notice
from wasabiwell_entry.coordination.exchange.ports import NodeDirectory, NoticePort
from wasabiwell_entry.coordination.exchange.registration import Registration
from wasabiwell_entry.coordination.exchange.roles import FleetRoles
from wasabiwell_entry.coordination.exchange.sender import StateSender
from wasabiwell_entry.coordination.exchange.zone_locality import Audience, ZoneLocality
from wasabiwell_entry.coordination.supervision import Supervisor
from wasabiwell_entry.state import log_events
from wasabiwell_entry.state.clock import Clock
from wasabiwell_entry.state.evacuations import Evacuations
from wasabiwell_entry.state.exchange import (
    DecodeStarted,
    HelperLoss,
    ListingNotice,
    NodeAddresses,
    NodeState,
    Notice,
    PaceSample,
    PeerLoss,
    RequestEnded,
    RequestPlaced,
    RetryNotice,
    RoutesConfirmed,
    SlowdownNotice,
    StaleIncarnation,
    StoreUnreachable,
    Suspicion,
    Suspicions,
    TargetDepartures,
    WatchRequest,
)
from wasabiwell_entry.state.members import Member
from wasabiwell_entry.state.nodes import Node, NodeTable
from wasabiwell_entry.state.store_revision import StoreRevision
from wasabiwell_entry.state.work import PlacedRequest, WorkTable


@dataclass(frozen=True, slots=True)
class ExchangeObservers:
    """Callbacks for the messages of other entry instances, except placements.

    `targets_departed` takes targets that have announced their departure, and `departures` returns
    the messages with those that are known, for a peer that has just started. `routes_announced`
    takes the control address of a peer and its routes version, `routes_confirmed` also whether the
    peer is in the own zone. `store_unreachable` is called when a peer that follows the store cannot
    read it.
    `helper_lost` takes the id of a target. `full_listing` returns the message for a peer that knows
    no target, or None. `suspicions` returns the messages for a peer that is new or was unreachable
    for long, and `recent_suspicions` those repeated with each state, because single messages may
    be lost. `row_rewritten` takes the table and key of a row that was written again.
    `evacuations_told` takes evacuations and the peer that told them, and `routes_confirmed` last
    whether the confirmation had them.
    `request_placed` takes the placements of peers, and `pace_sampled` their samples of recovering
    targets.
    """

    request_ended: Callable[[RequestEnded], None]
    helper_lost: Callable[[str], None]
    targets_departed: Callable[[TargetDepartures], None]
    departures: Callable[[], Iterable[TargetDepartures]]
    suspicion_received: Callable[[Suspicion], None]
    suspicions: Callable[[], Iterable[Suspicions]]
    recent_suspicions: Callable[[], Iterable[Suspicions]]
    listing_received: Callable[[str, ListingNotice], None]
    routes_announced: Callable[[str, int], None]
    routes_confirmed: Callable[[str, int, bool, bool], None]
    store_unreachable: Callable[[], None]
    full_listing: Callable[[], ListingNotice | None]
    row_rewritten: Callable[[str, str], None] = lambda table, key: None
    evacuations_told: Callable[[Evacuations, str], object] = lambda evacuations, source: None
    request_placed: Callable[[PlacedRequest], None] = lambda placed: None
    pace_sampled: Callable[[PaceSample], None] = lambda sample: None


class ExchangeCoordinator:
    """Keeps the node table of one entry instance; one task sends states to each peer.

    In a small fleet all instances monitor each other. In a large fleet each instance has a few
    monitors, which get its states often and report to all peers when they stop; the other peers
    get its states at longer intervals.
    """

    __slots__ = (
        "_clock",
        "_failure_detector",
        "_nodes",
        "_nursery",
        "_observers",
        "_own_address",
        "_own_state",
        "_peers_with_sender",
        "_port",
        "_registration",
        "_roles",
        "_seeds",
        "_sender",
        "_supervisor",
        "_works",
        "_zone_locality",
    )

    def __init__(
        self,
        own_address: str,
        own_state: OwnState,
        nodes: NodeTable,
        works: WorkTable,
        zone_locality: ZoneLocality,
        port: NoticePort,
        directory: NodeDirectory,
        observers: ExchangeObservers,
        seeds: tuple[str, ...],
        supervisor: Supervisor,
        clock: Clock,
    ) -> None:
        self._own_address = own_address
        self._own_state = own_state
        self._nodes = nodes
        self._works = works
        self._zone_locality = zone_locality
        self._port = port
        self._observers = observers
        self._seeds = seeds
        self._supervisor = supervisor
        self._clock = clock
        self._roles = FleetRoles(own_address, nodes, zone_locality, seeds, clock)
        ring = MonitorRing(own_address)
        self._sender = StateSender(
            own_address,
            own_state.current,
            observers.recent_suspicions,
            nodes,
            zone_locality,
            ring,
            port,
            clock,
        )
        self._failure_detector = FailureDetector(
            nodes, works, ring, self._sender, port, self.broadcast
        )
        self._registration = Registration(
            own_address,
            directory,
            self._roles.rank,
            lambda: not self.peers(),
            self.add_peer,
            clock,
            observers.row_rewritten,
        )
        self._peers_with_sender: set[str] = set()
        self._nursery: trio.Nursery | None = None

    @property
    def roles(self) -> FleetRoles:
        """Return the roles of this instance in the fleet."""
        return self._roles

    def peers(self) -> list[Node]:
        """Return the peers that have not timed out, in the order of addresses."""
        return self._roles.peers()

    def alive(self) -> list[Member]:
        """Return the entry instances that callers may use, this one included.

        Those that reach no target are left out, unless none reaches any.

        If all peers have timed out, those whose last message arrived within
        `ISOLATED_LISTING_TIMEOUT` are included.
        """
        now = self._now()
        nodes = self.peers() or [
            node
            for node in self._nodes.heard()
            if node.silence(now) <= ISOLATED_LISTING_TIMEOUT.total_seconds()
        ]
        states = [(node.address, node.state) for node in nodes if node.state is not None]
        states.append((self._own_address, self._own_state.current()))
        serving = [(address, state) for address, state in states if state.serving]
        reaching = [item for item in serving if item[1].reaches_targets is not False]
        return [_member(address, state) for address, state in reaching or serving]

    def broadcast(self, notice: Notice) -> None:
        """Send a message to all reachable peers that need it."""
        match self._zone_locality.audience(notice, self._now()):
            case Audience.ALL:
                self._port.send([node.address for node in self.peers()], notice)
            case Audience.ZONE:
                self._port.send([node.address for node in self._zone_peers()], notice)
            case Audience.NOBODY:
                pass

    def broadcast_sample(self, sample: PaceSample) -> None:
        """Send a sample of a recovering target, if all peers understand the message."""
        peers = self.peers()
        if all(
            node.state is not None and node.state.features >= PACE_SAMPLE_FEATURES for node in peers
        ):
            self._port.send([node.address for node in peers], sample)

    def _zone_peers(self) -> list[Node]:
        return [
            node
            for node in self.peers()
            if node.state is not None and self._zone_locality.is_own_zone(node.state.zone)
        ]

    def record_store_return(self) -> None:
        """Register again, as the store has returned from a copy."""
        self._registration.record_return()

    def broadcast_state(self) -> None:
        """Send the state to all peers immediately, after a change."""
        self._sender.send_to_all()

    async def run(self) -> None:
        """Exchange messages until cancelled.

        Each part is supervised by itself, so that an error in one does not stop the others.
        """
        supervise = self._supervisor.run
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            try:
                self._roles.start()
                for address in (*self._seeds, *[node.address for node in self._nodes]):
                    self.add_peer(address)
                nursery.start_soon(supervise, "exchange.receive", self._port.receive, self)
                nursery.start_soon(supervise, "exchange.registration", self._registration.run)
                nursery.start_soon(supervise, "exchange.sweep", self._sweep_periodically)
                nursery.start_soon(supervise, "exchange.start", self._announce_serving)
                await trio.sleep_forever()
            finally:
                # The nursery takes no more tasks once it has ended.
                self._nursery = None
                self._peers_with_sender.clear()

    def receive(self, sender: str, notice: Notice) -> None:
        """Apply a message from a peer."""
        if sender == self._own_address:
            return
        now = self._now()
        if not isinstance(notice, NodeState):
            self._handle_recovery(sender, now)
            self._nodes.record_contact(sender, now)
        match notice:
            case RequestPlaced(notice=placement):
                placed = placed_from_notice(sender, placement, now)
                self._works.add(placed, now)
                self._observers.request_placed(placed)
            case DecodeStarted(request_id=request_id):
                self._works.start_decode(request_id, now)
            case SlowdownNotice(target_id=target_id, slowdown=slowdown):
                if (work := self._works.get(target_id)) is not None:
                    work.advance(now)
                    work.slowdown = slowdown
            case RequestEnded() as ended:
                self._works.remove(ended.request_id, now)
                self._observers.request_ended(ended)
            case PaceSample() as sample:
                self._observers.pace_sampled(sample)
            case HelperLoss(target_id=target_id):
                self._observers.helper_lost(target_id)
            case RoutesConfirmed(control_address=address, version=version) as confirmed:
                has_evacuations = self._receive_evacuations(sender, confirmed)
                node = self._nodes.get(sender)
                own_zone = (
                    node is not None
                    and node.state is not None
                    and self._zone_locality.is_own_zone(node.state.zone)
                )
                self._observers.routes_confirmed(address, version, own_zone, has_evacuations)
            case StaleIncarnation(known=known):
                if self._own_state.raise_incarnation(known):
                    log_events.emit(log_events.INCARNATION_RAISED, peer=sender, known=known)
                    self.broadcast_state()
            case StoreUnreachable():
                self._observers.store_unreachable()
            case TargetDepartures() as departures:
                self._observers.targets_departed(departures)
            case PeerLoss(address=address) if address == self._own_address:
                self._failure_detector.refute_loss(now)
            case PeerLoss() as loss:
                self._failure_detector.receive_loss(loss, now)
            case WatchRequest():
                self._failure_detector.receive_watch_request(sender, now)
            case RetryNotice(service=service):
                self._nodes.count_retry(sender, service)
            case Suspicions(items=items):
                for suspicion in items:
                    self._observers.suspicion_received(suspicion)
            case ListingNotice() as listing:
                self._observers.listing_received(sender, listing)
            case NodeState() as state:
                self._receive_state(sender, state, now)
            case NodeAddresses(addresses=addresses):
                for address in addresses:
                    self.add_peer(address)

    def _receive_state(self, sender: str, state: NodeState, now: float) -> None:
        is_new = self._nodes.get(sender) is None
        added = self.add_peer(sender)
        node = self._nodes.put(sender, now)
        previous = node.state
        if previous is not None and (state.incarnation, state.sequence) <= (
            previous.incarnation,
            previous.sequence,
        ):
            if state.incarnation < previous.incarnation:
                self._port.send([sender], StaleIncarnation(previous.incarnation))
            return
        if previous is None or state.incarnation != previous.incarnation:
            log_events.emit(log_events.PEER_HEARD, peer=sender, zone=state.zone)
            self._works.retain(sender, frozenset(), now)
            if not added:
                self._sender.send_to(sender)
            self._send_suspicions(sender)
        self._handle_recovery(sender, now)
        node.heard, node.state, node.lost = now, state, False
        node.silence_timeout = PEER_TIMEOUT_INTERVALS * state.interval_ms / 1000
        self._works.retain(sender, frozenset(state.placed), now)
        # Before the routes, so that no instance serves by routes alone that a peer has sent.
        self._receive_evacuations(sender, state)
        self._observers.routes_announced(state.control_address, state.routes_version)
        self._send_missing_information(sender, state, is_new)

    def _receive_evacuations(self, sender: str, notice: RoutesConfirmed | NodeState) -> bool:
        """Pass on the evacuations in a message; return whether it has any revision of them."""
        if not notice.evacuation_number:
            return False
        revision = StoreRevision(notice.evacuation_era, notice.evacuation_number)
        zones = frozenset(notice.evacuated_zones)
        self._observers.evacuations_told(Evacuations(revision, zones), sender)
        return True

    def _send_missing_information(self, sender: str, state: NodeState, is_new: bool) -> None:
        """Send a peer the instance addresses and the list of targets if it lacks them."""
        introduces = is_new and self._roles.introduces(sender)
        if introduces or self._needs_addresses(state):
            self._port.send([sender], NodeAddresses(tuple(node.address for node in self.peers())))
        if not state.knows_targets and self._roles.sends_listing():
            # The list may still show a target as ready that has announced its departure, and the
            # peer serves requests as soon as it has the list.
            for departures in self._observers.departures():
                self._port.send([sender], departures)
            listing = self._observers.full_listing()
            if listing is not None:
                self._port.send([sender], listing)

    def _needs_addresses(self, state: NodeState) -> bool:
        """Return whether a peer knows few instances and this one has to send it their addresses."""
        if state.peers >= len(self._nodes) * KNOWN_PEERS_FRACTION:
            return False
        lacking = state.peers < len(self.peers()) * KNOWN_PEERS_FRACTION
        return lacking and self._roles.is_contact()

    def _handle_recovery(self, sender: str, now: float) -> None:
        """Handle the first message of a peer that timed out or was reported as lost."""
        node = self._nodes.get(sender)
        if node is None or node.heard is None or node.state is None:
            return
        if not node.lost and node.silence(now) <= node.silence_timeout:
            return
        log_events.emit(log_events.PEER_HEARD, peer=sender, zone=node.state.zone)
        self._send_suspicions(sender)
        if node.lost:
            # The report makes the peer send its state to all instances. Those that do not monitor
            # it would otherwise wait many seconds for its next state.
            self._port.send([sender], peer_loss(node.address, node.state))

    def _send_suspicions(self, address: str) -> None:
        """Send a peer all requests that are suspected of crashing targets."""
        for suspicion in self._observers.suspicions():
            self._port.send([address], suspicion)

    def add_peer(self, address: str) -> bool:
        """Add a peer and start the task that sends it states; return False if that task runs.

        While the exchange does not run, the peer is only added; its task starts with the others.
        """
        if address == self._own_address or address in self._peers_with_sender:
            return False
        self._nodes.put(address, self._now())
        if self._nursery is None:
            return False
        self._peers_with_sender.add(address)
        self._nursery.start_soon(self._send_states, address)
        return True

    async def _send_states(self, address: str) -> None:
        try:
            await self._supervisor.run("exchange.sender", self._sender.send_periodically, address)
        finally:
            self._peers_with_sender.discard(address)

    async def _announce_serving(self) -> None:
        """Send the state to all peers as soon as this instance serves callers.

        In a large fleet most peers got its first state, which said that it does not serve, and get
        the next one up to 15 s later. Until then they would not name it to callers.
        """
        while not self._own_state.serving:
            await self._clock.sleep(SERVING_CHECK_INTERVAL)
        self.broadcast_state()
        await trio.sleep_forever()

    async def _sweep_periodically(self) -> None:
        while True:
            self._sweep()
            await self._clock.sleep(SWEEP_INTERVAL)

    def _sweep(self) -> None:
        """Drop the placements of timed-out peers and expired placements; report long calls."""
        now = self._now()
        if self._zone_locality.large_fleet:
            self._failure_detector.detect(now)
        for node in self._nodes.heard():
            silence = node.silence(now)
            if 0 <= silence - node.silence_timeout < SWEEP_INTERVAL.total_seconds():
                log_events.emit(
                    log_events.PEER_SILENT, peer=node.address, silence_s=round(silence, 2)
                )
                self._works.retain(node.address, frozenset(), now)
        self._works.expire(now)
        for placement in self._zone_locality.calls_to_report(now):
            self._port.send([node.address for node in self._zone_peers()], placement)

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
        capacity=state.capacity,
    )
