"""Requests that crash targets, as all entry instances know them by their exchange of messages."""

from collections.abc import Callable
from datetime import timedelta

from wasabiwell_entry.coordination.quarantine.const import (
    CRASH_LIMIT,
    SUSPICION_LIFETIME,
    SUSPICION_REPEAT_TIME,
)
from wasabiwell_entry.state import log_events
from wasabiwell_entry.state.clock import Clock
from wasabiwell_entry.state.exchange import Suspicion
from wasabiwell_entry.state.suspects import Suspect, SuspectTable


class CrashCounts:
    """Counts the targets that died while they ran a request, by the request's fingerprint.

    A request that runs beside a crashing one is suspected with it. It is cleared when it finishes,
    and refused only if `CRASH_LIMIT` targets died under it.
    """

    __slots__ = ("_clock", "_recent", "_suspects", "_tell")

    def __init__(self, tell: Callable[[Suspicion], None], clock: Clock) -> None:
        self._tell = tell
        self._clock = clock
        self._suspects = SuspectTable()
        self._recent: dict[str, timedelta] = {}

    def crashes(self, fingerprint: str) -> int:
        """Return how many targets died under a request."""
        suspect = self._suspects.get(fingerprint)
        return len(suspect.targets) if suspect is not None else 0

    def refused(self, fingerprint: str) -> bool:
        """Return whether a request gets no further target."""
        return self.crashes(fingerprint) >= CRASH_LIMIT

    def record_crash(self, fingerprint: str, target: str) -> None:
        """Count a target, named with its incarnation, that died under a request."""
        merged = self._merge(fingerprint, (target,))
        log_events.emit(log_events.REQUEST_SUSPECTED, fingerprint=fingerprint, target=target)
        self._recent[fingerprint] = self._clock.monotonic() + SUSPICION_REPEAT_TIME
        self._tell(Suspicion(fingerprint, merged.targets))

    def suspicions(self) -> list[Suspicion]:
        """Return all suspected requests."""
        self._suspects.remove_expired(self._clock.now())
        return [Suspicion(suspect.fingerprint, suspect.targets) for suspect in self._suspects]

    def recent_suspicions(self) -> list[Suspicion]:
        """Return the requests under which a target died here a moment ago."""
        now = self._clock.monotonic()
        self._recent = {key: until for key, until in self._recent.items() if until > now}
        suspects = [self._suspects.get(key) for key in self._recent]
        return [Suspicion(item.fingerprint, item.targets) for item in suspects if item is not None]

    def record_success(self, fingerprint: str) -> None:
        """Clear a request that has finished."""
        if self._suspects.get(fingerprint) is None or self.refused(fingerprint):
            return
        self._suspects.remove(fingerprint)
        self._tell(Suspicion(fingerprint, ()))

    def receive(self, suspicion: Suspicion) -> None:
        """Take over what another entry instance has seen."""
        if suspicion.targets:
            self._merge(suspicion.fingerprint, suspicion.targets)
        elif not self.refused(suspicion.fingerprint):
            self._suspects.remove(suspicion.fingerprint)

    def _merge(self, fingerprint: str, targets: tuple[str, ...]) -> Suspect:
        now = self._clock.now()
        self._suspects.remove_expired(now)
        return self._suspects.merge(Suspect(fingerprint, targets, now + SUSPICION_LIFETIME))
