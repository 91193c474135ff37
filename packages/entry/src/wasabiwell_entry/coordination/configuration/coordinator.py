"""Commits configuration versions and keeps the newest one in effect."""

import random
import secrets
from datetime import timedelta

import trio
from wasabiwell_config import Findings, Items, configuration_from_items, validate

from wasabiwell_entry.coordination.configuration.const import (
    APPLY_ATTEMPTS,
    COMMIT_ATTEMPTS,
    FETCH_RETRY_INTERVAL,
    MAX_PUSHED_DELTAS,
    OVERDUE_CONFIRMATION_AGE,
    OVERDUE_POLL_INTERVAL,
    POLL_INTERVAL,
    POLLERS_PER_ZONE,
    PUSH_CANDIDATES,
    PUSHED_PEERS,
    SLOW_POLL_INTERVAL,
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
    ResponseLost,
    StoreUnavailable,
)

Changes = dict[str, bytes | None]


class ConfigurationCoordinator:
    """Commits changes by compare-and-set; applies newer versions from table service and peers."""

    __slots__ = (
        "_clock",
        "_confirmed_at",
        "_last_poll",
        "_members",
        "_newer_version_announced",
        "_newer_versions",
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
        self._newer_versions: dict[str, int] = {}
        self._newer_version_announced = trio.Event()
        self._random = random.Random(own.node_id)

    @property
    def state(self) -> ConfigurationState:
        """Return the current version and its items."""
        return self._state

    def announcement(self) -> Announcement:
        """Return the version and its confirmation age, which heartbeats carry to peers."""
        return Announcement(self._state.version, self.confirmation_age())

    def confirmation_age(self) -> timedelta | None:
        """Return the time since the current version was last confirmed to be the newest one.

        Returns None until the table service or a peer has confirmed a version. A snapshot in the
        object store is no confirmation, because newer versions may have been accepted since.
        """
        if self._confirmed_at is None:
            return None
        return self._clock.monotonic() - self._confirmed_at

    def receive_announcement(
        self, sender: Member, announcement: Announcement, elapsed: timedelta | None
    ) -> None:
        """Record the version and confirmation that a peer announced.

        The confirmation counts only if `elapsed` limits the message's time in transit: an instance
        that resumes from a pause reads old messages from its sockets.
        """
        if announcement.version > self._state.version:
            self._newer_versions[sender.node_id] = announcement.version
            self._newer_version_announced.set()
            return
        age = announcement.confirmation_age
        if announcement.version == self._state.version and age is not None and elapsed is not None:
            self._confirm(self._clock.monotonic() - age - elapsed)

    async def run(self) -> None:
        """Poll the table service and fetch newer versions of peers until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._fetch_announced_versions)
            while True:
                if self._poll_due():
                    await self.refresh()
                await self._clock.sleep(POLL_INTERVAL)

    async def refresh(self) -> StoreUnavailable | None:
        """Apply newer versions in the table service; confirm the current one if it is the newest.

        When a delta or snapshot cannot be read, the version stays behind without an error.
        """
        started = self._clock.monotonic()
        self._last_poll = started
        stored = await self._store.read_head()
        match stored:
            case StoreUnavailable() as unavailable:
                return unavailable
            case Unreadable(key=key):
                return StoreUnavailable(f"row {key} cannot be decoded")
        if isinstance(failure := await self._catch_up(stored), StoreUnavailable):
            return failure
        if self._state.version == stored.head.version:
            self._confirm(started)
            await self._save_snapshot_when_due(stored)
        return None

    async def load_latest_snapshot(self) -> None:
        """Apply the newest snapshot in the object store, without confirming its version."""
        snapshot = await self._store.load_snapshot()
        if snapshot is not None:
            self._replace(snapshot.version, snapshot.items)

    def apply_update(self, update: ConfigurationUpdate) -> None:
        """Apply newer versions received from a peer."""
        if update.items is not None:
            self._replace(update.version, update.items)
        for delta in update.deltas:
            self._apply_delta(delta)

    def apply_pushed_delta(self, delta: ConfigurationDelta) -> int:
        """Apply a pushed delta if it is the next one; return the current version."""
        self._apply_delta(delta)
        return self._state.version

    def apply_confirmation(self, announcement: Announcement) -> None:
        """Apply the confirmation in a response that a peer has just sent."""
        age = announcement.confirmation_age
        if age is not None and announcement.version == self._state.version:
            self._confirm(self._clock.monotonic() - age)

    async def apply(self, base_version: int, changes: Changes) -> ApplyOutcome:
        """Commit an operator's changes to `base_version`.

        Later changes to other items are no conflict: the changes are validated against the newest
        version and committed on top of it.
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
            candidate = apply_changes(self._state.items, changes)
            # Validating 3,200 organisations would block the event loop for longer than the allowed
            # time between two tokens.
            findings = await trio.to_thread.run_sync(_validate_items, candidate)
            if findings:
                return Invalid(findings)
            outcome = await self._commit(checked_version, changes)
            if not isinstance(outcome, Conflict):
                return outcome
        return outcome

    async def _commit(self, checked_version: int, changes: Changes) -> ApplyOutcome:
        """Commit changes if the version they were validated against is still the newest one."""
        stored = await self._store.read_head()
        match stored:
            case StoreUnavailable(reason=reason):
                return ApplyUnavailable(reason)
            case Unreadable(key=key):
                return ApplyUnavailable(f"row {key} cannot be decoded")
        if stored.head.version != checked_version:
            return Conflict(stored.head.version, tuple(sorted(changes)))
        delta = ConfigurationDelta(stored.head.version + 1, changes, secrets.token_hex(8))
        started = self._clock.monotonic()
        match await self._store.commit(delta, stored.row_version):
            case Committed():
                return await self._accept(delta, started)
            case ConditionFailed():
                return Conflict(delta.version, tuple(sorted(changes)))
            case StoreUnavailable(reason=reason):
                return ApplyUnavailable(reason)
            case ResponseLost(reason=reason):
                return await self._resolve_lost_commit(delta, stored.row_version, reason)

    async def _resolve_lost_commit(
        self, delta: ConfigurationDelta, head_row_version: int, reason: str
    ) -> ApplyOutcome:
        """Retry a commit, which its conditions make idempotent, and read its row back."""
        for _ in range(COMMIT_ATTEMPTS):
            started = self._clock.monotonic()
            match await self._store.commit(delta, head_row_version):
                case Committed():
                    return await self._accept(delta, started)
                case ConditionFailed():
                    break
                case StoreUnavailable() | ResponseLost():
                    await self._clock.sleep(FETCH_RETRY_INTERVAL)
        match await self._store.committed_attempt(delta.version):
            case StoreUnavailable() | None:
                return ApplyUncertain(reason)
            case attempt_id if attempt_id == delta.attempt_id:
                started = self._clock.monotonic()
                return await self._accept(delta, started)
            case _:
                return Conflict(delta.version, tuple(sorted(delta.changes)))

    async def _accept(self, delta: ConfigurationDelta, started: timedelta) -> ApplyOutcome:
        """Apply a committed delta and push it to peers before the change is acknowledged."""
        self._apply_delta(delta)
        if self._state.version == delta.version:
            self._confirm(started)
        others = [item for item in self._members.alive() if item.node_id != self._own.node_id]
        if not others:
            return Accepted(delta.version)
        acks = await self._push(delta, others)
        return Accepted(delta.version, acks) if acks else AcceptedNotShared(delta.version)

    async def _push(self, delta: ConfigurationDelta, others: list[Member]) -> int:
        """Push a delta to `PUSHED_PEERS` peers and return the number that applied it.

        Peers in other zones come first; up to `PUSH_CANDIDATES` are tried.
        """
        self._random.shuffle(others)
        others.sort(key=lambda member: member.zone == self._own.zone)
        candidates = others[:PUSH_CANDIDATES]
        acks = 0
        while candidates and acks < PUSHED_PEERS:
            batch = candidates[: PUSHED_PEERS - acks]
            candidates = candidates[len(batch) :]
            results: list[bool] = []
            async with trio.open_nursery() as nursery:
                for member in batch:
                    nursery.start_soon(self._push_to, member, delta, results)
            acks += sum(results)
        return acks

    async def _push_to(
        self, member: Member, delta: ConfigurationDelta, results: list[bool]
    ) -> None:
        version = await self._peers.push(member, delta)
        if isinstance(version, PeerUnreachable):
            return
        if version < delta.version:
            missing = self._state.deltas_since(version) or []
            for earlier in missing[:MAX_PUSHED_DELTAS]:
                version = await self._peers.push(member, earlier)
                if isinstance(version, PeerUnreachable):
                    return
        results.append(version >= delta.version)

    async def _fetch_announced_versions(self) -> None:
        """Fetch newer versions from the peers that announced them."""
        while True:
            await self._newer_version_announced.wait()
            self._newer_version_announced = trio.Event()
            newer_versions, self._newer_versions = self._newer_versions, {}
            for node_id, version in sorted(newer_versions.items(), key=lambda item: -item[1]):
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
        if self._last_poll is None or self._is_frequent_poller():
            return True
        age = self.confirmation_age()
        overdue = age is None or age > OVERDUE_CONFIRMATION_AGE
        interval = OVERDUE_POLL_INTERVAL if overdue else SLOW_POLL_INTERVAL
        return now - self._last_poll >= interval

    def _is_frequent_poller(self) -> bool:
        """Return whether this instance is a poller of its zone, chosen by rendezvous hashing."""
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

    def _apply_delta(self, delta: ConfigurationDelta) -> None:
        previous_version = self._state.version
        self._log_change(previous_version, self._state.advance(delta))

    def _replace(self, version: int, items: dict[str, bytes]) -> None:
        previous_version = self._state.version
        self._log_change(previous_version, self._state.replace(version, items))

    def _log_change(self, previous_version: int, findings: Findings | None) -> None:
        version = self._state.version
        if findings is not None:
            log_events.emit(log_events.CONFIGURATION_INVALID, version=version, findings=findings)
        if version != previous_version:
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
        """Return the deltas up to the current version; None if some are missing or unreadable."""
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
            previous_version = self._state.version
            deltas = await self._store.deltas_after(previous_version)
            if isinstance(deltas, StoreUnavailable):
                return deltas
            for delta in deltas:
                if isinstance(delta, ConfigurationDelta):
                    self._apply_delta(delta)
            if self._state.version == previous_version:
                await self._catch_up_by_snapshot(stored)
            if self._state.version == previous_version:
                return None
        return None

    async def _catch_up_by_snapshot(self, stored: StoredHead) -> None:
        if stored.snapshot.version <= self._state.version:
            return
        snapshot = await self._store.load_snapshot(stored.snapshot.object_key)
        if snapshot is not None:
            self._replace(snapshot.version, snapshot.items)

    async def _save_snapshot_when_due(self, stored: StoredHead) -> None:
        """Store a snapshot every `SNAPSHOT_VERSIONS` versions.

        Only the frequent pollers write snapshots; of concurrent writes the first one wins.
        """
        if self._state.version - stored.snapshot.version < SNAPSHOT_VERSIONS:
            return
        if not self._is_frequent_poller():
            return
        snapshot = ConfigurationSnapshot(self._state.version, dict(self._state.items))
        await self._store.save_snapshot(snapshot, stored)


def _validate_items(items: Items) -> tuple[Finding, ...]:
    match configuration_from_items(items):
        case Findings(findings=findings):
            pass
        case configuration:
            findings = validate(configuration)
    return tuple(Finding(finding.place, finding.message) for finding in findings)
