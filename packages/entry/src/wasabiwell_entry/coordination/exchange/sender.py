"""Sends the states of this entry instance to its peers."""

from collections.abc import Callable, Iterable
from datetime import timedelta

import msgspec
import trio
import xxhash

from wasabiwell_entry.coordination.exchange.const import (
    FAR_STATES_PER_SECOND,
    FORGET_TIMEOUT,
    LATEST_MOMENT,
    MAX_FAR_STATE_INTERVAL,
    SHARED_STATE_TIME,
    STATE_INTERVAL,
)
from wasabiwell_entry.coordination.exchange.monitors import MonitorRing
from wasabiwell_entry.coordination.exchange.ports import NoticePort
from wasabiwell_entry.coordination.exchange.zone_locality import ZoneLocality
from wasabiwell_entry.state.clock import Clock
from wasabiwell_entry.state.exchange import NodeState, Suspicion
from wasabiwell_entry.state.nodes import NodeTable


class StateSender:
    """Sends states to each peer in a task of its own: often to monitors, seldom to the others.

    In a small fleet all peers get them often.
    """

    __slots__ = (
        "_cells",
        "_clock",
        "_nodes",
        "_own_state",
        "_phase",
        "_port",
        "_recent_suspicions",
        "_ring",
        "_ring_changed",
        "_shared_states",
        "_shared_until",
    )

    def __init__(
        self,
        own_address: str,
        own_state: Callable[[], NodeState],
        recent_suspicions: Callable[[], Iterable[Suspicion]],
        nodes: NodeTable,
        zone_locality: ZoneLocality,
        ring: MonitorRing,
        port: NoticePort,
        clock: Clock,
    ) -> None:
        self._own_state = own_state
        self._recent_suspicions = recent_suspicions
        self._nodes = nodes
        self._cells = zone_locality
        self._ring = ring
        self._ring_changed = trio.Event()
        self._port = port
        self._clock = clock
        self._phase = xxhash.xxh3_64_intdigest(own_address.encode()) / 2**64
        self._shared_states: dict[timedelta, NodeState] = {}
        self._shared_until = 0.0

    def monitors_changed(self) -> None:
        """Tell peers at once that have become monitors, or are none any more."""
        self._ring_changed.set()
        self._ring_changed = trio.Event()

    async def send(self, address: str) -> None:
        """Send states to a peer until it was not heard for long."""
        while (node := self._nodes.get(address)) is not None:
            last = node.heard if node.heard is not None else node.known_since
            if self._now() - last > FORGET_TIMEOUT.total_seconds():
                self._nodes.remove(address)
                return
            self.send_to(address)
            for suspicion in self._recent_suspicions():
                self._port.send([address], suspicion)
            await self._wait_to_send(address)

    def send_to(self, address: str) -> None:
        """Send the state to a peer."""
        self._port.send([address], self._state_to_share(self._interval_to(address)))

    def send_to_all(self) -> None:
        """Send the state to all peers as it is now, after a change that they should know of."""
        self._shared_states.clear()
        receivers: dict[timedelta, list[str]] = {}
        for node in self._nodes:
            receivers.setdefault(self._interval_to(node.address), []).append(node.address)
        for interval, addresses in receivers.items():
            self._port.send(addresses, self._state_to_share(interval))

    def _state_to_share(self, interval: timedelta) -> NodeState:
        """Return the state for all peers that are sent to at this moment, at one interval."""
        now = self._now()
        if now >= self._shared_until:
            self._shared_states.clear()
        if interval not in self._shared_states:
            milliseconds = interval // timedelta(milliseconds=1)
            state = msgspec.structs.replace(self._own_state(), interval_ms=milliseconds)
            self._shared_states[interval] = state
            self._shared_until = now + SHARED_STATE_TIME.total_seconds()
        return self._shared_states[interval]

    async def _wait_to_send(self, address: str) -> None:
        """Wait for the next moment to send a state to a peer.

        One that has become a monitor, or is none any more, is sent a state at once: it tells when
        the next one is to come.
        """
        far = self._is_far(address)
        interval = self._interval_to(address)
        with trio.move_on_after(self._time_to_next(interval).total_seconds()):
            while self._is_far(address) == far:
                await self._ring_changed.wait()

    def _is_far(self, address: str) -> bool:
        return self._cells.large_fleet and address not in self._ring.monitors

    def _interval_to(self, address: str) -> timedelta:
        if not self._is_far(address):
            return STATE_INTERVAL
        interval = timedelta(seconds=len(self._nodes) / FAR_STATES_PER_SECOND)
        return min(interval, MAX_FAR_STATE_INTERVAL)

    def _time_to_next(self, interval: timedelta) -> timedelta:
        """Return the time to the moment at which all peers with an interval are sent to.

        The tasks of all peers then run in one wake of the process. Instances have moments of their
        own, so that no peer gets the states of all others at once.
        """
        moment = (self._now() / interval.total_seconds() + self._phase) % 1.0
        return interval * (1.0 - moment if moment < LATEST_MOMENT else 2.0 - moment)

    def _now(self) -> float:
        return self._clock.monotonic().total_seconds()
