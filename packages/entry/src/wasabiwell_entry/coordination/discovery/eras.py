"""Notices that the platform's store has returned from a copy."""

from collections.abc import Callable
from datetime import timedelta

from wasabiwell_entry.coordination.discovery.const import OUTDATED_LOG_INTERVAL
from wasabiwell_entry.state import log_events
from wasabiwell_entry.state.clock import Clock
from wasabiwell_entry.state.store_revision import StoreRevision


class StoreEras:
    """The newest revision of the store that this instance knows, and the returns that it noticed.

    Reads of the store and notices of peers are recorded, so that an instance that reads nothing
    itself, or that was paused over a return, notices it, too.
    """

    __slots__ = (
        "_clock",
        "_newest",
        "_observers",
        "_outdated",
        "_outdated_logged",
        "_outdated_logged_at",
        "_returns",
        "_rewritten",
    )

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._newest: StoreRevision | None = None
        self._observers: list[Callable[[], None]] = []
        self._returns = 0
        self._rewritten = 0
        self._outdated = 0
        self._outdated_logged = 0
        self._outdated_logged_at: timedelta | None = None

    def observe_returns(self, observer: Callable[[], None]) -> None:
        """Call an observer after each return that is noticed."""
        self._observers.append(observer)

    def record(self, revision: StoreRevision, source: str) -> None:
        """Record a revision that was read from the store or told by a peer."""
        before = self._newest
        if before is not None and revision <= before:
            return
        self._newest = revision
        if before is None or revision.era == before.era:
            return
        self._returns += 1
        log_events.emit(
            log_events.STORE_RETURNED,
            source=source,
            era=revision.era,
            revision=revision.number,
            era_before=before.era,
            revision_before=before.number,
        )
        for observer in self._observers:
            observer()

    def record_outdated(self, revision: StoreRevision, own: StoreRevision, source: str) -> None:
        """Count an answer or a notice that is dropped, and log it at a limited rate."""
        self._outdated += 1
        now = self._clock.monotonic()
        last = self._outdated_logged_at
        if last is not None and now - last < OUTDATED_LOG_INTERVAL:
            return
        log_events.emit(
            log_events.STORE_ANSWER_OUTDATED,
            source=source,
            revision=revision,
            own_revision=own,
            dropped=self._outdated - self._outdated_logged,
        )
        self._outdated_logged, self._outdated_logged_at = self._outdated, now

    def record_rewritten(self, table: str, key: str) -> None:
        """Count and log a row of this system that was written again after a return."""
        self._rewritten += 1
        log_events.emit(log_events.ROW_REWRITTEN, table=table, key=key)

    def counts(self) -> dict[str, float]:
        """Return the numbers of returns, dropped answers and rewritten rows since the start."""
        return {
            "returns": self._returns,
            "outdated_answers": self._outdated,
            "rewritten_rows": self._rewritten,
        }
