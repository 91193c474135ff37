"""Sends the state of this entry instance to its peers."""

from collections.abc import Callable, Iterable
from datetime import timedelta

import msgspec
import trio
import xxhash

from wasabiwell_entry.coordination.exchange.const import (
    MAX_NON_MONITOR_STATE_INTERVAL,
    NON_MONITOR_STATES_PER_SECOND,
    PEER_REMOVAL_TIMEOUT,
    SLOT_SKIP_FRACTION,
    STATE_CACHE_TTL,
    STATE_INTERVAL,
)
from wasabiwell_entry.coordination.exchange.monitors import MonitorRing
from wasabiwell_entry.coordination.exchange.ports import NoticePort
from wasabiwell_entry.coordination.exchange.zone_locality import ZoneLocality
from wasabiwell_entry.state.clock import Clock
from wasabiwell_entry.state.exchange import NodeState, Suspicions
from wasabiwell_entry.state.nodes import NodeTable


class StateSender:
    """Sends states to each peer in its own task: often to monitors, at long intervals to others.

    In a small fleet all peers get states at the short interval.
    """

    __slots__ = (
        "_cache_expires",
        "_cached_states",
        "_clock",
        "_monitors_changed",
        "_nodes",
        "_own_state",
        "_phase",
        "_port",
        "_recent_suspicions",
        "_ring",
        "_zone_locality",
    )

    def __init__(
        self,
        own_address: str,
        own_state: Callable[[], NodeState],
        recent_suspicions: Callable[[], Iterable[Suspicions]],
        nodes: NodeTable,
        zone_locality: ZoneLocality,
        ring: MonitorRing,
        port: NoticePort,
        clock: Clock,
    ) -> None:
        self._own_state = own_state
        self._recent_suspicions = recent_suspicions
        self._nodes = nodes
        self._zone_locality = zone_locality
        self._ring = ring
        self._monitors_changed = trio.Event()
        self._port = port
        self._clock = clock
        self._phase = xxhash.xxh3_64_intdigest(own_address.encode()) / 2**64
        self._cached_states: dict[timedelta, NodeState] = {}
        self._cache_expires = 0.0

    def notify_monitors_changed(self) -> None:
        """Wake the tasks of peers that have become monitors or have ceased to be."""
        self._monitors_changed.set()
        self._monitors_changed = trio.Event()

    async def send_periodically(self, address: str) -> None:
        """Send states to a peer until it is removed after `PEER_REMOVAL_TIMEOUT`."""
        while (node := self._nodes.get(address)) is not None:
            last = node.heard if node.heard is not None else node.known_since
            if self._now() - last > PEER_REMOVAL_TIMEOUT.total_seconds():
                self._nodes.remove(address)
                return
            self.send_to(address)
            for suspicion in self._recent_suspicions():
                self._port.send([address], suspicion)
            await self._wait_to_send(address)

    def send_to(self, address: str) -> None:
        """Send the state to a peer."""
        self._port.send([address], self._current_state(self._interval_to(address)))

    def send_to_all(self) -> None:
        """Send a newly built state to all peers, after a change."""
        self._cached_states.clear()
        receivers: dict[timedelta, list[str]] = {}
        for node in self._nodes:
            receivers.setdefault(self._interval_to(node.address), []).append(node.address)
        for interval, addresses in receivers.items():
            self._port.send(addresses, self._current_state(interval))

    def _current_state(self, interval: timedelta) -> NodeState:
        """Return the state for all peers with this interval that are due at the same moment."""
        now = self._now()
        if now >= self._cache_expires:
            self._cached_states.clear()
        if interval not in self._cached_states:
            milliseconds = interval // timedelta(milliseconds=1)
            state = msgspec.structs.replace(self._own_state(), interval_ms=milliseconds)
            self._cached_states[interval] = state
            self._cache_expires = now + STATE_CACHE_TTL.total_seconds()
        return self._cached_states[interval]

    async def _wait_to_send(self, address: str) -> None:
        """Wait until the next state is due to a peer.

        A peer that has become a monitor or has ceased to be gets a state immediately, because the
        state contains the new interval.
        """
        infrequent = self._gets_infrequent_states(address)
        interval = self._interval_to(address)
        with trio.move_on_after(self._time_to_next_slot(interval).total_seconds()):
            while self._gets_infrequent_states(address) == infrequent:
                await self._monitors_changed.wait()

    def _gets_infrequent_states(self, address: str) -> bool:
        return self._zone_locality.large_fleet and address not in self._ring.monitors

    def _interval_to(self, address: str) -> timedelta:
        if not self._gets_infrequent_states(address):
            return STATE_INTERVAL
        interval = timedelta(seconds=len(self._nodes) / NON_MONITOR_STATES_PER_SECOND)
        return min(interval, MAX_NON_MONITOR_STATE_INTERVAL)

    def _time_to_next_slot(self, interval: timedelta) -> timedelta:
        """Return the time until the send slot shared by all peers with this interval.

        The tasks of these peers then run in one wake-up of the process. The slots of different
        instances have different phases, so that no peer gets the states of all others at once.
        """
        position = (self._now() / interval.total_seconds() + self._phase) % 1.0
        return interval * (1.0 - position if position < SLOT_SKIP_FRACTION else 2.0 - position)

    def _now(self) -> float:
        return self._clock.monotonic().total_seconds()
