"""Tells the other entry instances what happens here, and takes over what they tell."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from datetime import timedelta

import trio
import xxhash

from wasabiwell_entry.coordination.exchange.cells import Audience, ZoneCells
from wasabiwell_entry.coordination.exchange.const import (
    FORGET_TIMEOUT,
    LATEST_MOMENT,
    LISTED_TIMEOUT,
    LISTING_SENDERS,
    MAX_STATE_INTERVAL,
    PEERS_AT_STATE_INTERVAL,
    REGISTER_DELAY,
    REGISTER_INTERVAL,
    REGISTER_RETRY_INTERVAL,
    REGISTERED_INSTANCES,
    SHARED_STATE_TIME,
    SILENT_INTERVALS,
    STATE_INTERVAL,
    SWEEP_INTERVAL,
)
from wasabiwell_entry.coordination.exchange.ports import NodeDirectory, NoticePort
from wasabiwell_entry.state import log_events
from wasabiwell_entry.state.clock import Clock
from wasabiwell_entry.state.exchange import (
    Ending,
    HelperLoss,
    ListingNotice,
    NodeAddresses,
    NodeState,
    Notice,
    PaceNotice,
    PlacementNotice,
    Placing,
    Suspicion,
    Writing,
)
from wasabiwell_entry.state.forwarding import PromptSize
from wasabiwell_entry.state.members import Member
from wasabiwell_entry.state.nodes import Node, NodeTable
from wasabiwell_entry.state.platform import StoreUnavailable
from wasabiwell_entry.state.work import Placed, WorkTable


@dataclass(frozen=True, slots=True)
class ExchangeObservers:
    """Receivers of what other entry instances tell, apart from placements.

    `routes_announced` takes the control address of a peer. `whole_listing` returns what a peer is
    told that does not know any target, or None. `helper_lost` takes the id of a target.
    `suspicions` returns what a peer is told that was not heard before or for long, and
    `recent_suspicions` what is repeated with each state, as a message may be lost.
    """

    ended: Callable[[Ending], None]
    helper_lost: Callable[[str], None]
    suspected: Callable[[Suspicion], None]
    suspicions: Callable[[], Iterable[Suspicion]]
    recent_suspicions: Callable[[], Iterable[Suspicion]]
    listed: Callable[[str, ListingNotice], None]
    routes_announced: Callable[[str, int], None]
    whole_listing: Callable[[], ListingNotice | None]


class ExchangeCoordinator:
    """Keeps the node table of one entry instance; one task sends states to each peer."""

    __slots__ = (
        "_cells",
        "_clock",
        "_directory",
        "_nodes",
        "_nursery",
        "_observers",
        "_own_address",
        "_own_state",
        "_phase",
        "_port",
        "_seeds",
        "_sending",
        "_shared_state",
        "_shared_until",
        "_works",
    )

    def __init__(
        self,
        own_address: str,
        own_state: Callable[[], NodeState],
        nodes: NodeTable,
        works: WorkTable,
        cells: ZoneCells,
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
        self._cells = cells
        self._port = port
        self._directory = directory
        self._observers = observers
        self._seeds = seeds
        self._clock = clock
        self._phase = xxhash.xxh3_64_intdigest(own_address.encode()) / 2**64
        self._sending: set[str] = set()
        self._shared_state: NodeState | None = None
        self._shared_until = 0.0
        self._nursery: trio.Nursery | None = None

    def peers(self) -> list[Node]:
        """Return the peers that are heard, in the order of addresses."""
        return self._nodes.heard_since(self._now() - self._silence())

    def alive(self) -> list[Member]:
        """Return the entry instances that callers may use, this one included.

        When no peer is heard, those are returned that were heard before.
        """
        nodes = self.peers() or self._nodes.heard_since(
            self._now() - LISTED_TIMEOUT.total_seconds()
        )
        states = [(node.address, node.state) for node in nodes if node.state is not None]
        states.append((self._own_address, self._own_state()))
        return [_member(address, state) for address, state in states if state.serving]

    def rank(self) -> int:
        """Return the place of this instance among those that are heard, by address, from 0."""
        return sum(1 for node in self.peers() if node.address < self._own_address)

    def tell(self, notice: Notice) -> None:
        """Send a message to the peers that are heard and that it concerns."""
        match self._cells.audience(notice):
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

    def tell_state(self) -> None:
        """Send the state to all peers at once, after a change that they should know of."""
        self._port.send([node.address for node in self._nodes], self._own_state())

    async def run(self) -> None:
        """Exchange messages until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            for seed in self._seeds:
                self.meet(seed)
            nursery.start_soon(self._port.receive, self)
            nursery.start_soon(self._register)
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
            self._nodes.hear(sender, now)
        match notice:
            case Placing(notice=placing):
                self._works.add(_placed(sender, placing, now), now)
            case Writing(request_id=request_id):
                self._works.begin_writing(request_id, now)
            case PaceNotice(target_id=target_id, pace=pace):
                if (work := self._works.get(target_id)) is not None:
                    work.advance(now)
                    work.pace = pace
            case Ending() as ending:
                self._works.remove(ending.request_id, now)
                self._observers.ended(ending)
            case HelperLoss(target_id=target_id):
                self._observers.helper_lost(target_id)
            case Suspicion() as suspicion:
                self._observers.suspected(suspicion)
            case ListingNotice() as listing:
                self._observers.listed(sender, listing)
            case NodeState() as state:
                self._receive_state(sender, state, now)
            case NodeAddresses(addresses=addresses):
                for address in addresses:
                    self.meet(address)

    def _receive_state(self, sender: str, state: NodeState, now: float) -> None:
        self.meet(sender)
        node = self._nodes.put(sender, now)
        known = node.state
        if known is None:
            log_events.emit(log_events.PEER_HEARD, peer=sender, zone=state.zone)
            others = tuple(other.address for other in self.peers())
            self._port.send([sender], NodeAddresses(others))
            self._port.send([sender], self._own_state())
            self._tell_suspicions(sender)
        elif (state.incarnation, state.sequence) <= (known.incarnation, known.sequence):
            return
        elif state.incarnation != known.incarnation:
            self._works.retain(sender, frozenset(), now)
            self._tell_suspicions(sender)
        self._note_return(sender, now)
        node.heard, node.state = now, state
        self._works.retain(sender, frozenset(state.placed), now)
        self._observers.routes_announced(state.control_address, state.routes_version)
        if not state.knows_targets and self.rank() < LISTING_SENDERS:
            listing = self._observers.whole_listing()
            if listing is not None:
                self._port.send([sender], listing)

    def _note_return(self, sender: str, now: float) -> None:
        """Note that a peer is heard which was silent for long."""
        node = self._nodes.get(sender)
        if node is None or node.heard is None or node.state is None:
            return
        if now - node.heard > self._silence():
            log_events.emit(log_events.PEER_HEARD, peer=sender, zone=node.state.zone)
            self._tell_suspicions(sender)

    def _tell_suspicions(self, address: str) -> None:
        """Tell a peer of requests that crash targets, of which it may not have heard."""
        for suspicion in self._observers.suspicions():
            self._port.send([address], suspicion)

    def meet(self, address: str) -> None:
        """Add a peer and start the task that sends it states."""
        if address == self._own_address or address in self._sending or self._nursery is None:
            return
        self._nodes.put(address, self._now())
        self._sending.add(address)
        self._nursery.start_soon(self._send_states, address)

    async def _send_states(self, address: str) -> None:
        """Send states to a peer until it was not heard for long."""
        try:
            while (node := self._nodes.get(address)) is not None:
                last = node.heard if node.heard is not None else node.known_since
                if self._now() - last > FORGET_TIMEOUT.total_seconds():
                    self._nodes.remove(address)
                    return
                self._port.send([address], self._state_to_share())
                for suspicion in self._observers.recent_suspicions():
                    self._port.send([address], suspicion)
                await self._clock.sleep(self._time_to_next_state())
        finally:
            self._sending.discard(address)

    def _state_to_share(self) -> NodeState:
        """Return the state for all peers that are sent to at this moment."""
        now = self._now()
        if self._shared_state is None or now >= self._shared_until:
            self._shared_state = self._own_state()
            self._shared_until = now + SHARED_STATE_TIME.total_seconds()
        return self._shared_state

    def _time_to_next_state(self) -> timedelta:
        """Return the time to the moment at which all peers are sent to.

        The tasks of all peers then run in one wake of the process. Instances have moments of their
        own, so that no peer gets the states of all others at once.
        """
        interval = self._state_interval()
        moment = (self._now() / interval.total_seconds() + self._phase) % 1.0
        return interval * (1.0 - moment if moment < LATEST_MOMENT else 2.0 - moment)

    def _state_interval(self) -> timedelta:
        interval = STATE_INTERVAL * max(1.0, len(self._nodes) / PEERS_AT_STATE_INTERVAL)
        return min(interval, MAX_STATE_INTERVAL)

    def _silence(self) -> float:
        """Return the time in seconds after which an unheard peer counts as gone."""
        return SILENT_INTERVALS * self._state_interval().total_seconds()

    def _sweep(self) -> None:
        """Drop what silent peers have placed and what ended unheard."""
        now = self._now()
        limit = now - self._silence()
        for node in self._nodes:
            if (
                node.heard is not None
                and limit - SWEEP_INTERVAL.total_seconds() < node.heard <= limit
            ):
                log_events.emit(
                    log_events.PEER_SILENT, peer=node.address, silence_s=round(now - node.heard, 2)
                )
                self._works.retain(node.address, frozenset(), now)
        self._works.expire(now)

    async def _register(self) -> None:
        """Keep a few instances in the platform's store, and find peers there when none is heard."""
        await self._clock.sleep(REGISTER_DELAY)
        registered = False
        while True:
            failed: StoreUnavailable | None = None
            if not registered and self.rank() < REGISTERED_INSTANCES:
                failed = await self._directory.register(self._own_address)
                registered = failed is None
            if failed is None and not self.peers():
                failed = await self._meet_registered()
            retry = REGISTER_INTERVAL if failed is None else REGISTER_RETRY_INTERVAL
            await self._clock.sleep(retry)

    async def _meet_registered(self) -> StoreUnavailable | None:
        addresses = await self._directory.addresses()
        if isinstance(addresses, StoreUnavailable):
            return addresses
        for address in addresses:
            self.meet(address)
        return None

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


def _placed(sender: str, notice: PlacementNotice, now: float) -> Placed:
    size = None
    if notice.prompt:
        size = PromptSize(notice.prompt, notice.max_output, notice.expected_output)
    return Placed(
        request_id=notice.request_id,
        origin=sender,
        service=notice.service,
        lead=notice.lead,
        helpers=notice.helpers,
        placed_at=now - notice.age_ms / 1000,
        due=now + notice.due_in_ms / 1000,
        gap=notice.gap_ms / 1000,
        size=size,
        writing=notice.writing,
        holds=notice.holds,
    )


def placement_notice(placed: Placed, now: float) -> PlacementNotice:
    """Return what peers are told of a placed request."""
    size = placed.size or PromptSize(0, 0, 0)
    return PlacementNotice(
        request_id=placed.request_id,
        service=placed.service,
        lead=placed.lead,
        helpers=placed.helpers,
        age_ms=round((now - placed.placed_at) * 1000),
        due_in_ms=round((placed.due - now) * 1000),
        gap_ms=round(placed.gap * 1000),
        prompt=size.prompt,
        max_output=size.max_output,
        expected_output=size.expected_output,
        writing=placed.writing,
        holds=placed.holds,
    )
