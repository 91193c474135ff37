"""Crash counts of requests, shared between entry instances by messages."""

from collections.abc import Callable, Iterable
from datetime import timedelta

from wasabiwell_entry.coordination.quarantine.const import (
    CRASH_LIMIT,
    INITIAL_REFUSAL_TIME,
    MAX_CAUSES,
    MAX_CRASHES_PER_CAUSE,
    MAX_REFUSAL_TIME,
    SUSPICION_LIFETIME,
    SUSPICION_REBROADCAST_TIME,
)
from wasabiwell_entry.coordination.quarantine.errors import (
    CrashAssessment,
    NoSuspicion,
    RefusedCause,
    SuspectedCause,
)
from wasabiwell_entry.state import log_events
from wasabiwell_entry.state.clock import Clock
from wasabiwell_entry.state.crashes import Crash, CrashRecord, RequestCause, StoredRefusal
from wasabiwell_entry.state.exchange import Suspicion
from wasabiwell_entry.state.forwarding import ForwardedRequest


class CrashCounts:
    """Counts the targets that crashed while running a request, by the request's fingerprint.

    A request that runs on the same target as a crashing one is suspected too. A success clears it.
    After crashes of `CRASH_LIMIT` targets it is refused for a time, which doubles with each further
    crash.
    """

    __slots__ = ("_broadcast", "_clock", "_records", "on_refused")

    def __init__(self, broadcast: Callable[[Suspicion], None], clock: Clock) -> None:
        self._broadcast = broadcast
        self._clock = clock
        self._records: dict[RequestCause, CrashRecord] = {}
        self.on_refused: Callable[[RequestCause], None] = lambda cause: None

    def assess(self, request: ForwardedRequest) -> CrashAssessment:
        """Return whether a request is suspected of crashing targets, or refused for it."""
        now = self._clock.monotonic()
        assessment: CrashAssessment = NoSuspicion()
        for cause in _causes(request):
            record = self._records.get(cause)
            if record is None or not record.counted:
                continue
            if record.refused_until > now:
                return RefusedCause(cause, len(record.counted), record.refused_until - now)
            assessment = SuspectedCause(cause)
        return assessment

    def record_crash(self, request: ForwardedRequest, target: str) -> None:
        """Record that a target crashed while running a request, and broadcast the suspicion.

        `target` includes the incarnation, so a restarted target counts again.
        """
        crash = Crash(target, request.fingerprint)
        for cause in _causes(request):
            record = self._merge(cause, (crash,), ())
            self._broadcast(_suspicion(cause, record))
            if record.refused_until > self._clock.monotonic():
                self.on_refused(cause)

    def record_success(self, request: ForwardedRequest) -> None:
        """Clear the suspicion of a request that succeeded, unless it is refused."""
        for cause in _causes(request):
            record = self._records.get(cause)
            if record is None or not record.counted:
                continue
            if record.refused_until > self._clock.monotonic():
                continue
            record = self._merge(cause, (), record.counted)
            self._broadcast(_suspicion(cause, record))

    def receive(self, suspicion: Suspicion) -> None:
        """Merge a suspicion of another entry instance."""
        self._merge(suspicion.cause, suspicion.crashes, suspicion.cleared)

    def refusal(self, cause: RequestCause) -> StoredRefusal | None:
        """Return the refusal of a cause for storage, or None if it is not refused."""
        record = self._records.get(cause)
        time_left = record.refused_until - self._clock.monotonic() if record else timedelta()
        if record is None or time_left <= timedelta():
            return None
        until = self._clock.now() + time_left
        return StoredRefusal(cause, tuple(record.counted), until, record.refusals)

    def restore(self, refusal: StoredRefusal) -> None:
        """Apply a refusal that an earlier entry instance stored."""
        record = self._merge(refusal.cause, refusal.crashes, ())
        time_left = min(refusal.refused_until - self._clock.now(), MAX_REFUSAL_TIME)
        record.refused_until = self._clock.monotonic() + max(timedelta(), time_left)
        record.refusals = max(record.refusals, refusal.refusals)

    def suspicions(self) -> list[Suspicion]:
        """Return the suspicions that have not expired."""
        self._remove_expired()
        return [
            _suspicion(cause, record) for cause, record in self._records.items() if record.counted
        ]

    def recent_suspicions(self) -> list[Suspicion]:
        """Return the suspicions that changed within `SUSPICION_REBROADCAST_TIME`."""
        since = self._clock.monotonic() - SUSPICION_REBROADCAST_TIME
        return [
            _suspicion(cause, record)
            for cause, record in self._records.items()
            if record.changed_at > since
        ]

    def counts(self) -> dict[str, float]:
        """Return the number of causes by state."""
        now = self._clock.monotonic()
        refused = sum(1 for record in self._records.values() if record.refused_until > now)
        suspected = sum(1 for record in self._records.values() if record.counted)
        return {"suspected": float(suspected - refused), "refused": float(refused)}

    def _merge(
        self, cause: RequestCause, crashes: Iterable[Crash], cleared: Iterable[Crash]
    ) -> CrashRecord:
        """Add crashes and cleared crashes to a record; log what changes and return the record."""
        record = self._records.get(cause)
        if record is None:
            self._remove_expired()
            record = self._records[cause] = CrashRecord()
        counted = record.counted
        record.crashes = _bounded(record.crashes, crashes)
        record.cleared = _bounded(record.cleared, cleared)
        if record.counted == counted:
            return record
        now = self._clock.monotonic()
        record.changed_at = now
        if not record.counted:
            record.refused_until = timedelta()
            log_events.emit(log_events.SUSPICION_CLEARED, cause=str(cause), crashes=len(counted))
        for crash in record.counted - counted:
            self._count_crash(cause, record, crash, now)
        return record

    def _count_crash(
        self, cause: RequestCause, record: CrashRecord, crash: Crash, now: timedelta
    ) -> None:
        targets = {counted.target for counted in record.counted}
        log_events.emit(
            log_events.CAUSE_SUSPECTED,
            cause=str(cause),
            target=crash.target,
            targets=len(targets),
            limit=CRASH_LIMIT,
        )
        if len(targets) < CRASH_LIMIT or record.refused_until > now:
            return
        refusal_time = min(INITIAL_REFUSAL_TIME * 2**record.refusals, MAX_REFUSAL_TIME)
        record.refusals += 1
        record.refused_until = now + refusal_time
        log_events.emit(
            log_events.CAUSE_REFUSED,
            cause=str(cause),
            targets=" ".join(sorted(targets)),
            refusal_s=refusal_time.total_seconds(),
        )

    def _remove_expired(self) -> None:
        """Remove old records, and the oldest ones if there are too many."""
        now = self._clock.monotonic()
        records = sorted(self._records.items(), key=lambda item: item[1].changed_at)
        excess = len(records) - MAX_CAUSES
        self._records = {
            cause: record
            for index, (cause, record) in enumerate(records)
            if index >= excess
            and now < max(record.changed_at, record.refused_until) + SUSPICION_LIFETIME
        }


def _causes(request: ForwardedRequest) -> list[RequestCause]:
    return [RequestCause(request.fingerprint)]


def _suspicion(cause: RequestCause, record: CrashRecord) -> Suspicion:
    return Suspicion(cause, tuple(record.crashes), tuple(record.cleared))


def _bounded(existing: set[Crash], added: Iterable[Crash]) -> set[Crash]:
    """Return a union without new crashes beyond `MAX_CRASHES_PER_CAUSE`."""
    new = [crash for crash in added if crash not in existing]
    return existing | set(new[: max(0, MAX_CRASHES_PER_CAUSE - len(existing))])
