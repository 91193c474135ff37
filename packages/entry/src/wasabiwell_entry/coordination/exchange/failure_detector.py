"""Detects unresponsive instances in a large fleet and refutes reports about this instance."""

from collections.abc import Callable

from wasabiwell_entry.coordination.exchange.const import (
    MONITOR_TIMEOUT,
    PAUSE_THRESHOLD,
    REFUTATION_INTERVAL,
)
from wasabiwell_entry.coordination.exchange.monitors import MonitorRing
from wasabiwell_entry.coordination.exchange.ports import NoticePort
from wasabiwell_entry.coordination.exchange.sender import StateSender
from wasabiwell_entry.state import log_events
from wasabiwell_entry.state.exchange import NodeState, Notice, PeerLoss, WatchRequest
from wasabiwell_entry.state.nodes import Node, NodeTable
from wasabiwell_entry.state.work import WorkTable


class FailureDetector:
    """Monitors the instances that the ring assigns to this one, and all senders of frequent states.

    An assigned instance that sends its states at long intervals knows a different set of instances
    and does not regard this one as its monitor. It is asked for frequent states before it is
    reported, because both a report and its refutation are sent to all instances.
    """

    __slots__ = (
        "_broadcast",
        "_last_refutation",
        "_last_run",
        "_nodes",
        "_port",
        "_resumed_at",
        "_ring",
        "_sender",
        "_works",
    )

    def __init__(
        self,
        nodes: NodeTable,
        works: WorkTable,
        ring: MonitorRing,
        sender: StateSender,
        port: NoticePort,
        broadcast: Callable[[Notice], None],
    ) -> None:
        self._nodes = nodes
        self._works = works
        self._ring = ring
        self._sender = sender
        self._port = port
        self._broadcast = broadcast
        self._last_run = 0.0
        self._resumed_at = 0.0
        self._last_refutation = 0.0

    def detect(self, now: float) -> None:
        """Report the monitored instances that timed out; `now` is a monotonic time in seconds."""
        if now - self._last_run > PAUSE_THRESHOLD.total_seconds():
            # This process was paused, and messages sent to it meanwhile are still unread.
            self._resumed_at = now
        self._last_run = now
        reachable = self._nodes.reachable(now)
        if self._ring.update([node.address for node in reachable], now):
            self._sender.notify_monitors_changed()
        assignments = self._ring.monitored()
        limit = MONITOR_TIMEOUT.total_seconds()
        for node in self._nodes.heard():
            assigned_at = assignments.get(node.address)
            frequent = node.silence_timeout <= limit
            if node.state is None or (assigned_at is None and not frequent):
                continue
            if now - max(node.heard or 0.0, assigned_at or 0.0, self._resumed_at) > limit:
                self._mark_lost(node, now)
                self._broadcast(peer_loss(node.address, node.state))
            elif not frequent:
                self._port.send([node.address], WatchRequest())

    def receive_watch_request(self, sender: str, now: float) -> None:
        """Send frequent states to a peer that monitors this instance."""
        self._ring.add_requested(sender, now)
        if self._ring.update_monitors(now):
            self._sender.notify_monitors_changed()

    def receive_loss(self, loss: PeerLoss, now: float) -> None:
        """Mark a reported peer as lost, unless a newer message from it has arrived here."""
        node = self._nodes.get(loss.address)
        if node is None or node.heard is None or node.state is None or node.lost:
            return
        newer = (node.state.incarnation, node.state.sequence) > (loss.incarnation, loss.sequence)
        if not newer and node.silence(now) > MONITOR_TIMEOUT.total_seconds():
            self._mark_lost(node, now)

    def refute_loss(self, now: float) -> None:
        """Send the state to all peers, because one of them has reported this instance as lost."""
        if now - self._last_refutation >= REFUTATION_INTERVAL.total_seconds():
            self._last_refutation = now
            self._sender.send_to_all()

    def _mark_lost(self, node: Node, now: float) -> None:
        silence = round(node.silence(now), 2)
        log_events.emit(log_events.PEER_SILENT, peer=node.address, silence_s=silence)
        node.lost = True
        self._works.retain(node.address, frozenset(), now)


def peer_loss(address: str, state: NodeState) -> PeerLoss:
    """Return the report that an instance is lost, with the version of its last known state."""
    return PeerLoss(address, state.incarnation, state.sequence)
