"""Crash counts of requests and prompt parts, shared between entry instances by messages."""

from collections.abc import Callable, Iterable
from datetime import timedelta

from wasabiwell_entry.coordination.quarantine.const import (
    CHECKING_INSTANCES,
    CRASH_LIMIT,
    INITIAL_REFUSAL_TIME,
    MAX_CAUSES,
    MAX_CRASHES_PER_CAUSE,
    MAX_CRASHES_PER_NOTICE,
    MAX_REFUSAL_DOUBLINGS,
    MAX_SUSPICIONS_PER_NOTICE,
    MIN_PART_REQUESTS,
    PROVEN_PART_CRASH_LIMIT,
    PROVEN_PART_MIN_REQUESTS,
    SUSPICION_LIFETIME,
    SUSPICION_REBROADCAST_TIME,
    VOUCHING_INSTANCES,
)
from wasabiwell_entry.coordination.quarantine.errors import (
    CrashAssessment,
    ListedCause,
    NoSuspicion,
    RefusedCause,
    SuspectedCause,
)
from wasabiwell_entry.coordination.quarantine.proven_parts import ProvenParts
from wasabiwell_entry.state import log_events
from wasabiwell_entry.state.clock import Clock
from wasabiwell_entry.state.crashes import (
    Cause,
    Crash,
    CrashRecord,
    PartCause,
    RequestCause,
    StoredRefusal,
)
from wasabiwell_entry.state.exchange import Suspicion, Suspicions
from wasabiwell_entry.state.forwarding import ForwardedRequest


class CrashCounts:
    """Counts the targets that crashed while running a request, by its fingerprint and prompt parts.

    A request that runs on the same target as a crashing one is suspected too. A success clears it.
    After crashes of `CRASH_LIMIT` targets it is refused for a time, which doubles with each further
    crash. A prompt part takes crashes with several different requests, and more of them if it has
    succeeded lately; crashes with another part that is refused do not count.
    """

    __slots__ = (
        "_broadcast",
        "_clock",
        "_proven_parts",
        "_records",
        "_sampled",
        "on_refusal_cleared",
        "on_refusal_heard",
        "on_refused",
    )

    def __init__(
        self,
        broadcast: Callable[[Suspicions], None],
        clock: Clock,
        sampled: Callable[[str, int], bool] = lambda key, count: True,
    ) -> None:
        """Create empty counts; `sampled` selects about `count` instances by a key."""
        self._broadcast = broadcast
        self._clock = clock
        self._sampled = sampled
        self._records: dict[Cause, CrashRecord] = {}
        self._proven_parts = ProvenParts(clock)
        self.on_refused: Callable[[Cause], None] = lambda cause: None
        self.on_refusal_cleared: Callable[[Cause], None] = lambda cause: None
        self.on_refusal_heard: Callable[[Cause], None] = lambda cause: None

    def assess(self, request: ForwardedRequest) -> CrashAssessment:
        """Return whether a request is suspected of crashing targets, or refused for it."""
        now = self._clock.monotonic()
        assessment: CrashAssessment = NoSuspicion()
        for cause in _causes(request):
            record = self._records.get(cause)
            if record is None or not record.counted:
                continue
            self._log_expiry(cause, record, now)
            if record.refused_until > now:
                return RefusedCause(cause, len(record.counted), record.refused_until - now)
            if not record.proven:
                assessment = SuspectedCause(cause)
        return assessment

    def record_crash(self, request: ForwardedRequest, target: str) -> None:
        """Record that a target crashed while running a request, and broadcast the suspicions.

        `target` includes the incarnation, so a restarted target counts again.
        """
        crash = Crash(target, request.fingerprint)
        records = {cause: self._merge(Suspicion(cause, (crash,))) for cause in _causes(request)}
        # Making room for one cause may have removed another one of the same request.
        self._records.update(records)
        self._broadcast_causes(records)
        for cause, record in records.items():
            if self._is_refused(record):
                self.on_refused(cause)

    def record_success(self, request: ForwardedRequest) -> None:
        """Clear the suspicions of a request that succeeded; a refused request is not cleared."""
        changed = []
        for cause in _causes(request):
            if isinstance(cause, PartCause):
                self._proven_parts.add(cause)
            record = self._records.get(cause)
            if record is None or not record.counted:
                continue
            if isinstance(cause, RequestCause) and self._is_refused(record):
                continue
            proven = isinstance(cause, PartCause)
            refused = self._is_refused(record)
            self._merge(Suspicion(cause, (), tuple(record.counted), proven))
            changed.append(cause)
            if refused:
                self.on_refusal_cleared(cause)
        if changed:
            self._broadcast_causes(changed)

    def receive(self, suspicion: Suspicion) -> None:
        """Merge a suspicion of another instance, and vouch for a part that has succeeded here."""
        cause = suspicion.cause
        known = self._records.get(cause)
        known_as_proven = suspicion.proven or (known is not None and known.proven)
        known_as_refused = known is not None and self._is_refused(known)
        record = self._merge(suspicion)
        if (
            self._is_refused(record)
            and not known_as_refused
            and self._sampled(str(cause), CHECKING_INSTANCES)
        ):
            self.on_refusal_heard(cause)
        if (
            not known_as_proven
            and cause in self._proven_parts
            and self._sampled(str(cause), VOUCHING_INSTANCES)
        ):
            log_events.emit(log_events.PART_VOUCHED_FOR, cause=str(cause))
            self._broadcast_causes([cause])

    def find(self, name: str) -> Cause | None:
        """Return the cause with a fingerprint or the id of a prompt part."""
        for cause, record in self._records.items():
            match cause:
                case RequestCause(fingerprint=found) | PartCause(part_id=found):
                    if found == name and record.counted:
                        return cause
        return None

    def release(self, cause: Cause) -> None:
        """Clear all crashes that count against a cause, on all instances."""
        record = self._records.get(cause)
        if record is not None and record.counted:
            self._merge(Suspicion(cause, (), tuple(record.counted)))
            self._broadcast_causes([cause])

    def listed(self) -> list[ListedCause]:
        """Return the causes against which crashes count."""
        return [
            ListedCause(cause, self._is_refused(record), _crashed_targets(record))
            for cause, record in self._records.items()
            if record.counted
        ]

    def refusal(self, cause: Cause) -> StoredRefusal | None:
        """Return the refusal of a cause for storage, or None if it is not refused."""
        record = self._records.get(cause)
        time_left = record.refused_until - self._clock.monotonic() if record else timedelta()
        if record is None or time_left <= timedelta():
            return None
        until = self._clock.now() + time_left
        return StoredRefusal(cause, tuple(record.counted), until, record.refusals)

    def checked_refusals(self) -> list[Cause]:
        """Return the refused causes whose rows this instance, one of a few, looks after."""
        return [
            cause
            for cause, record in self._records.items()
            if self._is_refused(record) and self._sampled(str(cause), CHECKING_INSTANCES)
        ]

    def restore(self, refusal: StoredRefusal) -> None:
        """Apply a refusal that an earlier entry instance stored."""
        time_left = min(
            refusal.refused_until - self._clock.now(),
            INITIAL_REFUSAL_TIME * 2**MAX_REFUSAL_DOUBLINGS,
        )
        record = self._merge(Suspicion(refusal.cause, refusal.crashes), decide=False)
        if not record.counted:
            # A success or a release is known here that came after the refusal was stored.
            return
        record.refused_until = self._clock.monotonic() + max(timedelta(), time_left)
        record.refusals = max(record.refusals, refusal.refusals)
        log_events.emit(
            log_events.REFUSAL_RESTORED,
            cause=str(refusal.cause),
            crashes=len(record.counted),
            refusal_s=max(0, round(time_left.total_seconds())),
        )

    def suspicions(self) -> list[Suspicions]:
        """Return the suspicions that have not expired."""
        self._remove_expired()
        return self._notices(cause for cause, record in self._records.items() if record.counted)

    def recent_suspicions(self) -> list[Suspicions]:
        """Return the suspicions that changed within `SUSPICION_REBROADCAST_TIME`."""
        since = self._clock.monotonic() - SUSPICION_REBROADCAST_TIME
        return self._notices(
            cause for cause, record in self._records.items() if record.changed_at > since
        )

    def counts(self) -> dict[str, float]:
        """Return the number of causes by state."""
        refused = sum(1 for record in self._records.values() if self._is_refused(record))
        suspected = sum(1 for record in self._records.values() if record.counted)
        return {"suspected": float(suspected - refused), "refused": float(refused)}

    def _broadcast_causes(self, causes: Iterable[Cause]) -> None:
        for notice in self._notices(causes):
            self._broadcast(notice)

    def _notices(self, causes: Iterable[Cause]) -> list[Suspicions]:
        """Return messages that each fit into a datagram."""
        notices: list[list[Suspicion]] = []
        crashes_in_last = 0
        for cause in causes:
            item = _suspicion(cause, self._records[cause])
            crashes = len(item.crashes) + len(item.cleared)
            crashes_in_last += crashes
            if (
                not notices
                or len(notices[-1]) >= MAX_SUSPICIONS_PER_NOTICE
                or crashes_in_last > MAX_CRASHES_PER_NOTICE
            ):
                notices.append([])
                crashes_in_last = crashes
            notices[-1].append(item)
        return [Suspicions(tuple(items)) for items in notices]

    def _is_refused(self, record: CrashRecord) -> bool:
        return record.refused_until > self._clock.monotonic()

    def _log_expiry(self, cause: Cause, record: CrashRecord, now: timedelta) -> None:
        """Log the end of a refusal when the first request after it is assessed."""
        if not record.expiry_logged and timedelta() < record.refused_until <= now:
            record.expiry_logged = True
            log_events.emit(log_events.REFUSAL_EXPIRED, cause=str(cause))

    def _merge(self, suspicion: Suspicion, decide: bool = True) -> CrashRecord:
        """Merge a suspicion into the record of its cause, log changes, and return the record.

        Without `decide` the cause is not refused for the merged crashes.
        """
        cause = suspicion.cause
        record = self._records.get(cause)
        if record is None:
            self._make_room()
            record = self._records[cause] = CrashRecord()
        counted, proven = record.counted, record.proven
        _add_crashes(record.crashes, suspicion.crashes, MAX_CRASHES_PER_CAUSE)
        _add_crashes(record.cleared, suspicion.cleared, 2 * MAX_CRASHES_PER_CAUSE)
        record.proven = proven or suspicion.proven or cause in self._proven_parts
        if record.counted == counted and record.proven == proven:
            return record
        now = self._clock.monotonic()
        record.changed_at = now
        if counted and not record.counted:
            record.refused_until = timedelta()
            log_events.emit(log_events.SUSPICION_CLEARED, cause=str(cause), crashes=len(counted))
        if decide:
            for crash in record.counted - counted:
                self._count_crash(cause, record, crash, now)
        return record

    def _count_crash(self, cause: Cause, record: CrashRecord, crash: Crash, now: timedelta) -> None:
        crashes = record.counted - self._explained_crashes(cause)
        targets = {counted.target for counted in crashes}
        requests = {counted.fingerprint for counted in crashes}
        limit, min_requests = _limits(cause, record)
        log_events.emit(
            log_events.CAUSE_SUSPECTED,
            cause=str(cause),
            target=crash.target,
            targets=len(targets),
            limit=limit,
            requests=len(requests),
            explained=len(record.counted) - len(crashes),
            proven=record.proven,
        )
        if record.refused_until > now or len(targets) < limit or len(requests) < min_requests:
            return
        refusal_time = INITIAL_REFUSAL_TIME * 2 ** min(record.refusals, MAX_REFUSAL_DOUBLINGS)
        record.refusals += 1
        record.refused_until = now + refusal_time
        record.expiry_logged = False
        log_events.emit(
            log_events.CAUSE_REFUSED,
            cause=str(cause),
            targets=" ".join(sorted(targets)),
            refusal_s=refusal_time.total_seconds(),
        )

    def _explained_crashes(self, cause: Cause) -> set[Crash]:
        """Return the crashes with another prompt part that is refused and has not succeeded."""
        if isinstance(cause, RequestCause):
            return set()
        explained: set[Crash] = set()
        for other, record in self._records.items():
            if (
                isinstance(other, PartCause)
                and other != cause
                and other.service == cause.service
                and not record.proven
                and self._is_refused(record)
            ):
                explained |= record.counted
        return explained

    def _make_room(self) -> None:
        """Remove the expired records when there are many, and the oldest half if none has."""
        if len(self._records) < MAX_CAUSES:
            return
        self._remove_expired()
        if len(self._records) >= MAX_CAUSES:
            records = sorted(self._records.items(), key=lambda item: item[1].changed_at)
            self._records = dict(records[len(records) // 2 :])

    def _remove_expired(self) -> None:
        now = self._clock.monotonic()
        self._records = {
            cause: record
            for cause, record in self._records.items()
            if now < max(record.changed_at, record.refused_until) + SUSPICION_LIFETIME
        }


def _causes(request: ForwardedRequest) -> list[Cause]:
    """Return the possible causes of a crash, the most specific ones first.

    The later a part stands in a prompt, the fewer requests share it. It is examined first, so that
    it explains the crashes before a part that sound requests share too.
    """
    parts = [PartCause(request.service, part_id) for part_id in reversed(request.prompt_parts)]
    return [RequestCause(request.fingerprint), *parts]


def _limits(cause: Cause, record: CrashRecord) -> tuple[int, int]:
    """Return how many targets and how many requests crashes must have had for a refusal."""
    match cause:
        case RequestCause():
            return CRASH_LIMIT, 1
        case PartCause() if record.proven:
            return PROVEN_PART_CRASH_LIMIT, PROVEN_PART_MIN_REQUESTS
        case PartCause():
            return CRASH_LIMIT, MIN_PART_REQUESTS


def _crashed_targets(record: CrashRecord) -> tuple[str, ...]:
    return tuple(sorted({crash.target for crash in record.counted}))


def _suspicion(cause: Cause, record: CrashRecord) -> Suspicion:
    return Suspicion(cause, tuple(record.crashes), tuple(record.cleared), record.proven)


def _add_crashes(existing: dict[Crash, None], added: Iterable[Crash], limit: int) -> None:
    """Add crashes, and drop the oldest ones beyond the limit."""
    existing.update(dict.fromkeys(added))
    for crash in list(existing)[: max(0, len(existing) - limit)]:
        del existing[crash]
