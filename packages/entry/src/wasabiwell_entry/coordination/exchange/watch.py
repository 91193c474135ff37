"""Finds the silent instances of a large fleet, and answers when this one is taken for silent."""

from collections.abc import Callable

from wasabiwell_entry.coordination.exchange.const import (
    ANSWER_LOSS_INTERVAL,
    PAUSED_SWEEP,
    WATCH_SILENCE,
)
from wasabiwell_entry.coordination.exchange.monitors import MonitorRing
from wasabiwell_entry.coordination.exchange.ports import NoticePort
from wasabiwell_entry.coordination.exchange.sender import StateSender
from wasabiwell_entry.state import log_events
from wasabiwell_entry.state.exchange import NodeState, Notice, PeerLoss, WatchRequest
from wasabiwell_entry.state.nodes import Node, NodeTable
from wasabiwell_entry.state.work import WorkTable


class PeerWatch:
    """Watches the instances that the ring gives to this one, and the senders of frequent states.

    One that the ring gives to this instance and that sends it states seldom knows of others than
    this one does. It is asked for frequent states first: a report of its silence would go to all,
    and so would its answer.
    """

    __slots__ = (
        "_answered_loss",
        "_looked",
        "_nodes",
        "_port",
        "_resumed",
        "_ring",
        "_sender",
        "_tell",
        "_works",
    )

    def __init__(
        self,
        nodes: NodeTable,
        works: WorkTable,
        ring: MonitorRing,
        sender: StateSender,
        port: NoticePort,
        tell: Callable[[Notice], None],
    ) -> None:
        self._nodes = nodes
        self._works = works
        self._ring = ring
        self._sender = sender
        self._port = port
        self._tell = tell
        self._looked = 0.0
        self._resumed = 0.0
        self._answered_loss = 0.0

    def look(self, now: float) -> None:
        """Report the watched instances that are silent; `now` is a monotonic time in seconds."""
        if now - self._looked > PAUSED_SWEEP.total_seconds():
            # This instance was paused: what the others have sent meanwhile waits to be read.
            self._resumed = now
        self._looked = now
        heard = self._nodes.reachable(now)
        if self._ring.update([node.address for node in heard], now):
            self._sender.monitors_changed()
        given = self._ring.watched()
        limit = WATCH_SILENCE.total_seconds()
        for node in self._nodes.heard():
            since = given.get(node.address)
            frequent = node.silence_timeout <= limit
            if node.state is None or (since is None and not frequent):
                continue
            if now - max(node.heard or 0.0, since or 0.0, self._resumed) > limit:
                self._lose(node, now)
                self._tell(loss_of(node.address, node.state))
            elif not frequent:
                self._port.send([node.address], WatchRequest())

    def receive_request(self, sender: str, now: float) -> None:
        """Send frequent states to an instance that watches this one."""
        self._ring.ask(sender, now)
        if self._ring.update_monitors(now):
            self._sender.monitors_changed()

    def receive_loss(self, loss: PeerLoss, now: float) -> None:
        """Take over that a peer is silent, unless it was heard here meanwhile."""
        node = self._nodes.get(loss.address)
        if node is None or node.heard is None or node.state is None or node.lost:
            return
        newer = (node.state.incarnation, node.state.sequence) > (loss.incarnation, loss.sequence)
        if not newer and node.silence(now) > WATCH_SILENCE.total_seconds():
            self._lose(node, now)

    def answer_loss(self, now: float) -> None:
        """Show all peers that this instance lives, as one of them has reported its silence."""
        if now - self._answered_loss >= ANSWER_LOSS_INTERVAL.total_seconds():
            self._answered_loss = now
            self._sender.send_to_all()

    def _lose(self, node: Node, now: float) -> None:
        silence = round(node.silence(now), 2)
        log_events.emit(log_events.PEER_SILENT, peer=node.address, silence_s=silence)
        node.lost = True
        self._works.retain(node.address, frozenset(), now)


def loss_of(address: str, state: NodeState) -> PeerLoss:
    """Return the report that an instance is silent whose last state is known."""
    return PeerLoss(address, state.incarnation, state.sequence)
