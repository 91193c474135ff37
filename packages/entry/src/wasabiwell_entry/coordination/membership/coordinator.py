"""Tracks the other entry instances with heartbeats and the instance list."""

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from datetime import timedelta

import trio

from wasabiwell_entry.coordination.membership.const import (
    DEAD_RETENTION,
    DIGEST_MISMATCHES,
    HEARTBEAT_INTERVAL,
    INSTANCE_LIST_INTERVAL,
    LIST_READERS_PER_ZONE,
    MAX_UPDATES,
    PAUSE_THRESHOLD,
    PROBE_TIMEOUT,
    RECONNECT_INTERVAL,
    SETTLE_TIME,
    SILENCE_TIMEOUT,
    SLOW_INSTANCE_LIST_INTERVAL,
    SUSPICION_TIMEOUT,
    SWEEP_INTERVAL,
)
from wasabiwell_entry.coordination.membership.errors import PeerUnreachable
from wasabiwell_entry.coordination.membership.gossip import (
    SyncCursor,
    UpdateQueue,
    table_digest,
)
from wasabiwell_entry.coordination.membership.ownership import ranked_by_hash
from wasabiwell_entry.coordination.membership.ports import (
    AnnouncementPort,
    PeerPort,
    PeerStream,
)
from wasabiwell_entry.coordination.membership.topology import monitored_peers
from wasabiwell_entry.state import log_events
from wasabiwell_entry.state.clock import Clock
from wasabiwell_entry.state.heartbeats import Heartbeat
from wasabiwell_entry.state.marks import Mark, MarkTable
from wasabiwell_entry.state.members import Member, MemberStatus, MemberTable
from wasabiwell_entry.state.platform import InstanceList, InstanceRecord, StoreUnavailable


@dataclass(slots=True)
class PeerSession:
    """Per-stream state that either side keeps between heartbeats.

    `mismatches` counts the consecutive heartbeats whose digest differed. `last_sent` is the
    monotonic time of the last reply to the peer.
    """

    cursor: SyncCursor = field(default_factory=SyncCursor)
    own_record_sent: bool = False
    mismatches: int = 0
    last_sent: timedelta | None = None


@dataclass(slots=True)
class _Suspicion:
    """A suspected incarnation of a member and the monotonic time at which its timeout began."""

    incarnation: int
    since: timedelta


class MembershipCoordinator:
    """Maintains the member table of an entry instance; each monitored peer has a heartbeat task."""

    __slots__ = (
        "_announcements",
        "_clock",
        "_dead_since",
        "_digest",
        "_instances",
        "_last_sweep",
        "_listed",
        "_marks",
        "_members",
        "_monitors",
        "_observers",
        "_own_id",
        "_peers",
        "_queue",
        "_random",
        "_settled_at",
        "_suspicions",
    )

    def __init__(
        self,
        own: Member,
        members: MemberTable,
        marks: MarkTable,
        instances: InstanceList,
        peers: PeerPort,
        announcements: AnnouncementPort,
        clock: Clock,
    ) -> None:
        self._own_id = own.node_id
        self._members = members
        self._marks = marks
        self._instances = instances
        self._peers = peers
        self._announcements = announcements
        self._clock = clock
        self._observers: list[Callable[[list[InstanceRecord]], None]] = []
        self._queue = UpdateQueue()
        self._suspicions: dict[str, _Suspicion] = {}
        self._dead_since: dict[str, timedelta] = {}
        self._monitors: dict[str, tuple[str, trio.CancelScope]] = {}
        self._listed: frozenset[str] | None = None
        self._digest: int | None = None
        self._last_sweep = clock.monotonic()
        self._settled_at = timedelta()
        self._random = random.Random(own.node_id)
        self._put(own)

    @property
    def own(self) -> Member:
        """Return the member record of this entry instance."""
        own = self._members.get(self._own_id)
        assert own is not None
        return own

    @property
    def monitored(self) -> tuple[str, ...]:
        """Return the node ids of the monitored peers."""
        return tuple(self._monitors)

    def observe(self, observer: Callable[[list[InstanceRecord]], None]) -> None:
        """Register an observer that is called with each read of the instance list."""
        self._observers.append(observer)

    def reaches_majority(self) -> bool:
        """Return whether a majority of the members is reachable, directly or through others.

        Dead members count towards the total while the last read instance list contains them.
        """
        if self._clock.monotonic() < self._settled_at:
            return False
        serving = len(self._members.serving())
        dead = sum(
            1
            for member in self._members
            if member.status is MemberStatus.DEAD and self._is_listed(member.node_id)
        )
        return 2 * serving > serving + dead

    def leave(self) -> None:
        """Announce to the peers that this entry instance is leaving."""
        self._put(replace(self.own, status=MemberStatus.LEAVING))

    def announce_stop(self) -> None:
        """Announce to the peers that this entry instance has stopped serving."""
        self._put(replace(self.own, status=MemberStatus.DEAD))

    def publish(
        self, kind: str, key: str, lifetime: timedelta, value: bytes = b"", active: bool = True
    ) -> Mark:
        """Set a mark on all entry instances, or replace it by a tombstone if not `active`.

        A new version never expires earlier than the current one.
        """
        current = self._marks.get(kind, key)
        counter = current.counter + 1 if current is not None else 1
        now = self._clock.now().timestamp()
        expires = int(now + lifetime.total_seconds())
        if current is not None:
            expires = max(expires, current.expires)
        mark = Mark(kind, key, self._own_id, counter, expires, active, value)
        self._merge_mark(mark)
        return mark

    async def run(self) -> None:
        """Poll the instance list and monitor peers until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._poll_instance_list)
            nursery.start_soon(self._reconnect)
            while True:
                self.sweep()
                self._update_monitors(nursery)
                await self._clock.sleep(SWEEP_INTERVAL)

    async def refresh(self) -> StoreUnavailable | None:
        """Read the instance list once; during an outage the known members are kept."""
        records = await self._instances.instances()
        if isinstance(records, StoreUnavailable):
            return records
        for observer in self._observers:
            observer(records)
        listed = [record for record in records if record.role == "entry"]
        self._listed = frozenset(record.instance_id for record in listed)
        for record in listed:
            if self._members.get(record.instance_id) is None:
                self._merge_member(_member_from_record(record))
        return None

    def receive(self, heartbeat: Heartbeat, session: PeerSession) -> Heartbeat:
        """Apply the heartbeat from a stream that a peer opened and return the reply."""
        now = self._clock.monotonic()
        elapsed = now - session.last_sent if session.last_sent is not None else None
        self._apply_heartbeat(heartbeat, session, elapsed)
        session.last_sent = now
        return self._heartbeat(session, heartbeat.sender, heartbeat.incarnation)

    def subscribe(self, kind: str, subscriber: Callable[[Mark], None]) -> None:
        """Call a subscriber with each new mark of a kind, set locally or by a peer."""
        self._marks.subscribe(kind, subscriber)

    def marks(self) -> list[Mark]:
        """Return all marks, including tombstones."""
        return list(self._marks)

    def mark(self, kind: str, key: str) -> Mark | None:
        """Return the mark of a key, which may be a tombstone."""
        return self._marks.get(kind, key)

    def merge(self, members: Iterable[Member], marks: Iterable[Mark]) -> None:
        """Merge the members and marks of a peer."""
        for member in members:
            self._merge_member(member)
        for mark in marks:
            self._merge_mark(mark)

    def sweep(self) -> None:
        """Declare suspects dead after their timeout; remove old dead members and expired marks."""
        now = self._clock.monotonic()
        if now - self._last_sweep > PAUSE_THRESHOLD:
            self._resume_after_pause(now)
        self._last_sweep = now
        for node_id, suspicion in list(self._suspicions.items()):
            member = self._members.get(node_id)
            if member is None or member.incarnation != suspicion.incarnation:
                del self._suspicions[node_id]
            elif now - suspicion.since >= SUSPICION_TIMEOUT:
                del self._suspicions[node_id]
                self._merge_member(replace(member, status=MemberStatus.DEAD))
        for node_id, since in list(self._dead_since.items()):
            if now - since >= DEAD_RETENTION and not self._is_listed(node_id):
                del self._dead_since[node_id]
                self._members.remove(node_id)
        if self._marks.expire(int(self._clock.now().timestamp())):
            self._digest = None

    def _resume_after_pause(self, now: timedelta) -> None:
        # Refutations could not be received during the pause, and the statuses of other members may
        # be outdated.
        for suspicion in self._suspicions.values():
            suspicion.since = now
        self._settled_at = now + SETTLE_TIME

    async def _poll_instance_list(self) -> None:
        while True:
            await self.refresh()
            is_reader = self._is_list_reader()
            await self._clock.sleep(
                INSTANCE_LIST_INTERVAL if is_reader else SLOW_INSTANCE_LIST_INTERVAL
            )

    def _is_list_reader(self) -> bool:
        own = self.own
        zone = [
            member
            for member in self._members.serving()
            if (member.region, member.zone) == (own.region, own.zone)
        ]
        return own in ranked_by_hash("instance-list", zone)[:LIST_READERS_PER_ZONE]

    async def _reconnect(self) -> None:
        """Probe one dead member at a time, so that the sides of a healed partition merge again."""
        while True:
            await self._clock.sleep(RECONNECT_INTERVAL)
            dead = [
                member
                for member in self._members
                if member.status is MemberStatus.DEAD
                and member.node_id != self._own_id
                and self._is_listed(member.node_id)
            ]
            if dead:
                await self.probe(self._random.choice(dead))

    def _update_monitors(self, nursery: trio.Nursery) -> None:
        chosen = {
            peer.node_id: peer.peer_address
            for peer in monitored_peers(self.own, self._members.serving())
        }
        for node_id, (address, scope) in list(self._monitors.items()):
            if chosen.get(node_id) != address:
                scope.cancel()
                del self._monitors[node_id]
        for node_id, address in chosen.items():
            if node_id not in self._monitors:
                scope = trio.CancelScope()
                self._monitors[node_id] = (address, scope)
                nursery.start_soon(self._monitor, node_id, scope)

    async def _monitor(self, node_id: str, scope: trio.CancelScope) -> None:
        """Exchange heartbeats with a peer; retry on a new stream before suspecting the peer."""
        with scope:
            while (member := self._members.get(node_id)) is not None:
                async with self._peers.open(member) as stream:
                    if await self._exchange(stream, node_id, PROBE_TIMEOUT):
                        await self._exchange_until_silent(stream, node_id)
                    else:
                        self._suspect(node_id)
                        await self._clock.sleep(HEARTBEAT_INTERVAL)

    async def _exchange_until_silent(self, stream: PeerStream, node_id: str) -> None:
        session = PeerSession()
        while True:
            started = self._clock.monotonic()
            if not await self._exchange(stream, node_id, SILENCE_TIMEOUT, session):
                return
            elapsed = self._clock.monotonic() - started
            await self._clock.sleep(max(timedelta(), HEARTBEAT_INTERVAL - elapsed))

    async def probe(self, member: Member) -> bool:
        """Exchange one heartbeat on a new connection and return whether the peer replied."""
        async with self._peers.open(member) as stream:
            return await self._exchange(stream, member.node_id, PROBE_TIMEOUT)

    async def _exchange(
        self,
        stream: PeerStream,
        node_id: str,
        timeout: timedelta,
        session: PeerSession | None = None,
    ) -> bool:
        session = session or PeerSession()
        started = self._clock.monotonic()
        current = self._members.get(node_id)
        heartbeat = self._heartbeat(session, node_id, current.incarnation if current else 0)
        match await stream.exchange(heartbeat, timeout):
            case Heartbeat() as response if response.sender == node_id:
                self._apply_heartbeat(response, session, self._clock.monotonic() - started)
                return True
            case Heartbeat() | PeerUnreachable():
                return False

    def _suspect(self, node_id: str) -> None:
        member = self._members.get(node_id)
        if member is None or member.status is MemberStatus.DEAD:
            return
        if member.status is MemberStatus.LEAVING:
            # As a suspect, a leaving member would be listed to callers again.
            self._start_suspicion_timer(member)
            return
        self._merge_member(replace(member, status=MemberStatus.SUSPECT))

    def _heartbeat(self, session: PeerSession, receiver: str, incarnation: int) -> Heartbeat:
        members, marks = self._queue.take()
        if session.mismatches >= DIGEST_MISMATCHES:
            more_members, more_marks = session.cursor.next_batch(self._members, self._marks)
            members = [*members[: MAX_UPDATES // 2], *more_members]
            marks = [*marks[: MAX_UPDATES // 2], *more_marks]
        about_receiver = self._members.get(receiver)
        if about_receiver is not None and (
            about_receiver.status in (MemberStatus.SUSPECT, MemberStatus.DEAD)
            or about_receiver.incarnation > incarnation
        ):
            members.append(about_receiver)
        if not session.own_record_sent:
            session.own_record_sent = True
            members.append(self.own)
        return Heartbeat(
            sender=self._own_id,
            incarnation=self.own.incarnation,
            digest=self._current_digest(),
            announcement=self._announcements.announcement(),
            members=tuple(members),
            marks=tuple(marks),
        )

    def _apply_heartbeat(
        self, heartbeat: Heartbeat, session: PeerSession, elapsed: timedelta | None
    ) -> None:
        self.merge(heartbeat.members, heartbeat.marks)
        same = heartbeat.digest == self._current_digest()
        session.mismatches = 0 if same else session.mismatches + 1
        sender = self._members.get(heartbeat.sender)
        if sender is None:
            return
        if sender.status is MemberStatus.LEAVING and heartbeat.incarnation == sender.incarnation:
            self._suspicions.pop(sender.node_id, None)
        self._announcements.receive_announcement(sender, heartbeat.announcement, elapsed)

    def _merge_member(self, member: Member) -> None:
        if member.node_id == self._own_id:
            self._refute(member)
            return
        current = self._members.get(member.node_id)
        if member.overrides(current):
            self._put(member)

    def _refute(self, member: Member) -> None:
        """Refute a claim about this entry instance with a higher incarnation."""
        own = self.own
        stale = member.incarnation < own.incarnation or member == own
        if stale or own.status is MemberStatus.DEAD:
            return
        self._put(replace(own, incarnation=member.incarnation + 1))

    def _merge_mark(self, mark: Mark) -> None:
        if self._marks.merge(mark, int(self._clock.now().timestamp())):
            self._digest = None
            self._queue.add(mark, len(self._members))

    def _put(self, member: Member) -> None:
        previous = self._members.get(member.node_id)
        self._members.put(member)
        self._digest = None
        self._queue.add(member, len(self._members))
        if member.status is MemberStatus.DEAD:
            self._dead_since[member.node_id] = self._clock.monotonic()
        else:
            self._dead_since.pop(member.node_id, None)
        if member.status is MemberStatus.SUSPECT:
            self._start_suspicion_timer(member)
        if previous is not None and previous.status is not member.status:
            log_events.emit(
                log_events.MEMBER_CHANGED,
                member=member.node_id,
                status=member.status.value,
                incarnation=member.incarnation,
            )

    def _start_suspicion_timer(self, member: Member) -> None:
        current = self._suspicions.get(member.node_id)
        if current is None or current.incarnation != member.incarnation:
            self._suspicions[member.node_id] = _Suspicion(
                member.incarnation, self._clock.monotonic()
            )

    def _is_listed(self, node_id: str) -> bool:
        return self._listed is None or node_id in self._listed

    def _current_digest(self) -> int:
        if self._digest is None:
            self._digest = table_digest(self._members, self._marks)
        return self._digest


def _member_from_record(record: InstanceRecord) -> Member:
    return Member(
        node_id=record.instance_id,
        incarnation=0,
        region=record.region,
        zone=record.zone,
        caller_address=record.address,
        peer_address=record.peer_address,
        status=MemberStatus.LEAVING if record.leaving else MemberStatus.ALIVE,
    )
