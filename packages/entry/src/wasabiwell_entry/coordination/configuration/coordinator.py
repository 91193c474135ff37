"""Commits configuration versions and keeps the newest one in force."""

import random
import secrets
from datetime import timedelta

import trio
from wasabiwell_config import Findings, Items, configuration_from_items, validate

from wasabiwell_entry.coordination.configuration.const import (
    APPLY_ATTEMPTS,
    COMMIT_ATTEMPTS,
    FETCH_RETRY_INTERVAL,
    OVERDUE_CONFIRMATION_AGE,
    OVERDUE_POLL_INTERVAL,
    POLL_INTERVAL,
    POLLERS_PER_ZONE,
    PUSH_CANDIDATES,
    PUSHED_DELTAS,
    PUSHED_PEERS,
    RARE_POLL_INTERVAL,
    SNAPSHOT_VERSIONS,
)
from wasabiwell_entry.coordination.configuration.errors import (
    Accepted,
    AcceptedNotShared,
    ApplyOutcome,
    ApplyUnavailable,
    ApplyUncertain,
    Conflict,
    Invalid,
)
from wasabiwell_entry.coordination.configuration.ports import ConfigurationPeers
from wasabiwell_entry.coordination.configuration.store import (
    ConfigurationSnapshot,
    ConfigurationStore,
    StoredHead,
    Unreadable,
)
from wasabiwell_entry.coordination.membership.errors import PeerUnreachable
from wasabiwell_entry.coordination.membership.ownership import ranked_by_hash
from wasabiwell_entry.state import log_events
from wasabiwell_entry.state.clock import Clock
from wasabiwell_entry.state.configuration import (
    ConfigurationDelta,
    ConfigurationState,
    ConfigurationUpdate,
    apply_changes,
)
from wasabiwell_entry.state.heartbeats import Announcement
from wasabiwell_entry.state.members import Member, MemberTable
from wasabiwell_entry.state.outcomes import Finding
from wasabiwell_entry.state.platform import (
    Committed,
    ConditionFailed,
    ReplyLost,
    StoreUnavailable,
)

Changes = dict[str, bytes | None]


class ConfigurationCoordinator:
    """Applies changes by compare-and-set and follows the versions of table service and peers."""

    __slots__ = (
        "_ahead",
        "_ahead_event",
        "_clock",
        "_confirmed_at",
        "_last_poll",
        "_members",
        "_own",
        "_peers",
        "_random",
        "_state",
        "_store",
    )

    def __init__(
        self,
        own: Member,
        members: MemberTable,
        store: ConfigurationStore,
        state: ConfigurationState,
        peers: ConfigurationPeers,
        clock: Clock,
    ) -> None:
        self._own = own
        self._members = members
        self._store = store
        self._state = state
        self._peers = peers
        self._clock = clock
        self._confirmed_at: timedelta | None = None
        self._last_poll: timedelta | None = None
        self._ahead: dict[str, int] = {}
        self._ahead_event = trio.Event()
        self._random = random.Random(own.node_id)

    @property
    def state(self) -> ConfigurationState:
        """Return the version and items in force."""
        return self._state

    def announcement(self) -> Announcement:
        """Return what heartbeats announce."""
        return Announcement(self._state.version, self.confirmation_age())

    def confirmation_age(self) -> timedelta | None:
        """Return the time since the version in force was known to be the newest one.

        None as long as neither the table service nor a peer confirmed a version; an object alone
        does not, because it may be older than what was accepted since.
        """
        if self._confirmed_at is None:
            return None
        return self._clock.monotonic() - self._confirmed_at

    def heard(self, sender: Member, announcement: Announcement, elapsed: timedelta | None) -> None:
        """Note the version and confirmation that a peer announced.

        The confirmation counts only when the message cannot have been under way for longer than
        `elapsed`: a paused instance reads old messages from its sockets when it resumes.
        """
        if announcement.version > self._state.version:
            self._ahead[sender.node_id] = announcement.version
            self._ahead_event.set()
            return
        age = announcement.confirmation_age
        if announcement.version == self._state.version and age is not None and elapsed is not None:
            self._confirm(self._clock.monotonic() - age - elapsed)

    async def run(self) -> None:
        """Follow the table service and the peers until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._follow_peers)
            while True:
                if self._poll_due():
                    await self.refresh()
                await self._clock.sleep(POLL_INTERVAL)

    async def refresh(self) -> StoreUnavailable | None:
        """Put all versions of the table service in force that are newer than the one here."""
        began = self._clock.monotonic()
        self._last_poll = began
        stored = await self._store.read_head()
        match stored:
            case StoreUnavailable() as unavailable:
                return unavailable
            case Unreadable(key=key):
                return StoreUnavailable(f"row {key} cannot be decoded")
        if isinstance(failure := await self._catch_up(stored), StoreUnavailable):
            return failure
        if self._state.version == stored.head.version:
            self._confirm(began)
            await self._save_snapshot_when_due(stored)
        return None

    async def load_latest_snapshot(self) -> None:
        """Load the newest snapshot of the object store; it does not count as confirmed."""
        snapshot = await self._store.load_snapshot()
        if snapshot is not None:
            self._replace(snapshot.version, snapshot.items)

    def apply_update(self, update: ConfigurationUpdate) -> None:
        """Put a peer's newer versions in force."""
        if update.items is not None:
            self._replace(update.version, update.items)
        for delta in update.deltas:
            self._advance(delta)

    def apply_pushed_delta(self, delta: ConfigurationDelta) -> int:
        """Put a pushed delta in force if it is the next one; return the version in force."""
        self._advance(delta)
        return self._state.version

    def apply_confirmation(self, announcement: Announcement) -> None:
        """Take over the confirmation of a peer whose answer was just received."""
        age = announcement.confirmation_age
        if age is not None and announcement.version == self._state.version:
            self._confirm(self._clock.monotonic() - age)

    async def apply(self, base_version: int, changes: Changes) -> ApplyOutcome:
        """Commit changes that an operator made against `base_version`.

        Changes of other items since then are no conflict: the changes are checked against the
        newest version and committed on top of it.
        """
        outcome: ApplyOutcome = Conflict(self._state.version, tuple(sorted(changes)))
        for _ in range(APPLY_ATTEMPTS):
            if isinstance(unavailable := await self.refresh(), StoreUnavailable):
                return ApplyUnavailable(unavailable.reason)
            conflicts = await self._conflicting_paths(base_version, changes)
            if isinstance(conflicts, StoreUnavailable):
                return ApplyUnavailable(conflicts.reason)
            if conflicts:
                return Conflict(self._state.version, conflicts)
            checked_version = self._state.version
            merged = apply_changes(self._state.items, changes)
            # A check of 3,200 organisations takes longer than may lie between two tokens.
            findings = await trio.to_thread.run_sync(_check, merged)
            if findings:
                return Invalid(findings)
            outcome = await self._commit(checked_version, changes)
            if not isinstance(outcome, Conflict):
                return outcome
        return outcome

    async def _commit(self, checked_version: int, changes: Changes) -> ApplyOutcome:
        """Commit changes that were checked against a version, if it is still the newest one."""
        stored = await self._store.read_head()
        match stored:
            case StoreUnavailable(reason=reason):
                return ApplyUnavailable(reason)
            case Unreadable(key=key):
                return ApplyUnavailable(f"row {key} cannot be decoded")
        if stored.head.version != checked_version:
            return Conflict(stored.head.version, tuple(sorted(changes)))
        delta = ConfigurationDelta(stored.head.version + 1, changes, secrets.token_hex(8))
        began = self._clock.monotonic()
        match await self._store.commit(delta, stored.row_version):
            case Committed():
                return await self._accept(delta, began)
            case ConditionFailed():
                return Conflict(delta.version, tuple(sorted(changes)))
            case StoreUnavailable(reason=reason):
                return ApplyUnavailable(reason)
            case ReplyLost(reason=reason):
                return await self._settle_lost_commit(delta, stored.row_version, reason)

    async def _settle_lost_commit(
        self, delta: ConfigurationDelta, head_row_version: int, reason: str
    ) -> ApplyOutcome:
        """Repeat the commit, whose conditions let it act at most once, and read its row back."""
        for _ in range(COMMIT_ATTEMPTS):
            began = self._clock.monotonic()
            match await self._store.commit(delta, head_row_version):
                case Committed():
                    return await self._accept(delta, began)
                case ConditionFailed():
                    break
                case StoreUnavailable() | ReplyLost():
                    await self._clock.sleep(FETCH_RETRY_INTERVAL)
        match await self._store.committed_attempt(delta.version):
            case StoreUnavailable() | None:
                return ApplyUncertain(reason)
            case attempt_id if attempt_id == delta.attempt_id:
                began = self._clock.monotonic()
                return await self._accept(delta, began)
            case _:
                return Conflict(delta.version, tuple(sorted(delta.changes)))

    async def _accept(self, delta: ConfigurationDelta, began: timedelta) -> ApplyOutcome:
        """Put a committed delta in force and hand it to peers before it is acknowledged."""
        self._advance(delta)
        if self._state.version == delta.version:
            self._confirm(began)
        others = [item for item in self._members.alive() if item.node_id != self._own.node_id]
        if not others:
            return Accepted(delta.version)
        taken = await self._push(delta, others)
        return Accepted(delta.version, taken) if taken else AcceptedNotShared(delta.version)

    async def _push(self, delta: ConfigurationDelta, others: list[Member]) -> int:
        """Push a delta to two peers, and to others in place of those that do not take it."""
        self._random.shuffle(others)
        others.sort(key=lambda member: member.zone == self._own.zone)
        candidates = others[:PUSH_CANDIDATES]
        taken = 0
        while candidates and taken < PUSHED_PEERS:
            batch = candidates[: PUSHED_PEERS - taken]
            candidates = candidates[len(batch) :]
            results: list[bool] = []
            async with trio.open_nursery() as nursery:
                for member in batch:
                    nursery.start_soon(self._push_to, member, delta, results)
            taken += sum(results)
        return taken

    async def _push_to(
        self, member: Member, delta: ConfigurationDelta, results: list[bool]
    ) -> None:
        version = await self._peers.push(member, delta)
        if isinstance(version, PeerUnreachable):
            return
        if version < delta.version:
            missing = self._state.deltas_since(version) or []
            for earlier in missing[:PUSHED_DELTAS]:
                version = await self._peers.push(member, earlier)
                if isinstance(version, PeerUnreachable):
                    return
        results.append(version >= delta.version)

    async def _follow_peers(self) -> None:
        """Fetch from peers that announced a newer version."""
        while True:
            await self._ahead_event.wait()
            self._ahead_event = trio.Event()
            ahead, self._ahead = self._ahead, {}
            for node_id, version in sorted(ahead.items(), key=lambda item: -item[1]):
                member = self._members.get(node_id)
                if version > self._state.version and member is not None:
                    await self._fetch_from(member)
            await self._clock.sleep(FETCH_RETRY_INTERVAL)

    async def _fetch_from(self, member: Member) -> None:
        match await self._peers.fetch(member, self._state.version):
            case ConfigurationUpdate() as update:
                self.apply_update(update)
            case PeerUnreachable():
                pass

    def _poll_due(self) -> bool:
        now = self._clock.monotonic()
        if self._last_poll is None or self._polls_often():
            return True
        age = self.confirmation_age()
        overdue = age is None or age > OVERDUE_CONFIRMATION_AGE
        interval = OVERDUE_POLL_INTERVAL if overdue else RARE_POLL_INTERVAL
        return now - self._last_poll >= interval

    def _polls_often(self) -> bool:
        """Choose the pollers of each zone by rendezvous hashing over its members."""
        zone = [
            member
            for member in self._members.alive()
            if (member.region, member.zone) == (self._own.region, self._own.zone)
        ]
        ranked = ranked_by_hash("configuration-poll", zone)[:POLLERS_PER_ZONE]
        return self._own.node_id in (member.node_id for member in ranked)

    def _confirm(self, at: timedelta) -> None:
        if self._confirmed_at is None or at > self._confirmed_at:
            self._confirmed_at = at

    def _advance(self, delta: ConfigurationDelta) -> None:
        before = self._state.version
        self._log_change(before, self._state.advance(delta))

    def _replace(self, version: int, items: dict[str, bytes]) -> None:
        before = self._state.version
        self._log_change(before, self._state.replace(version, items))

    def _log_change(self, before: int, findings: Findings | None) -> None:
        version = self._state.version
        if findings is not None:
            log_events.emit(log_events.CONFIGURATION_INVALID, version=version, findings=findings)
        if version != before:
            log_events.emit(log_events.CONFIGURATION_IN_FORCE, version=version)

    async def _conflicting_paths(
        self, base_version: int, changes: Changes
    ) -> tuple[str, ...] | StoreUnavailable:
        if base_version == self._state.version:
            return ()
        deltas: list[ConfigurationDelta] | StoreUnavailable | None
        deltas = self._state.deltas_since(base_version)
        if deltas is None:
            deltas = await self._stored_deltas_since(base_version)
        if isinstance(deltas, StoreUnavailable):
            return deltas
        if base_version > self._state.version or deltas is None:
            return tuple(sorted(changes))
        changed_since = {path for delta in deltas for path in delta.changes}
        return tuple(sorted(changed_since & set(changes)))

    async def _stored_deltas_since(
        self, version: int
    ) -> list[ConfigurationDelta] | StoreUnavailable | None:
        """Return the deltas up to the version in force, or None when they were removed."""
        found: list[ConfigurationDelta] = []
        while version < self._state.version:
            deltas = await self._store.deltas_after(version)
            if isinstance(deltas, StoreUnavailable):
                return deltas
            for delta in deltas:
                if isinstance(delta, Unreadable) or delta.version != version + 1:
                    return None
                found.append(delta)
                version = delta.version
            if not deltas:
                return None
        return found

    async def _catch_up(self, stored: StoredHead) -> StoreUnavailable | None:
        while self._state.version < stored.head.version:
            before = self._state.version
            deltas = await self._store.deltas_after(before)
            if isinstance(deltas, StoreUnavailable):
                return deltas
            for delta in deltas:
                if isinstance(delta, ConfigurationDelta):
                    self._advance(delta)
            if self._state.version == before:
                await self._catch_up_by_snapshot(stored)
            if self._state.version == before:
                return None
        return None

    async def _catch_up_by_snapshot(self, stored: StoredHead) -> None:
        if stored.snapshot.version <= self._state.version:
            return
        snapshot = await self._store.load_snapshot(stored.snapshot.object_key)
        if snapshot is not None:
            self._replace(snapshot.version, snapshot.items)

    async def _save_snapshot_when_due(self, stored: StoredHead) -> None:
        """Store a snapshot every 100 versions; the first writer wins."""
        if self._state.version - stored.snapshot.version < SNAPSHOT_VERSIONS:
            return
        if not self._polls_often():
            return
        snapshot = ConfigurationSnapshot(self._state.version, dict(self._state.items))
        await self._store.save_snapshot(snapshot, stored)


def _check(items: Items) -> tuple[Finding, ...]:
    match configuration_from_items(items):
        case Findings(findings=findings):
            pass
        case configuration:
            findings = validate(configuration)
    return tuple(Finding(finding.place, finding.message) for finding in findings)
