"""Crash counts of requests, shared between entry instances by messages."""

from collections.abc import Callable
from datetime import timedelta

from wasabiwell_entry.coordination.quarantine.const import (
    CRASH_LIMIT,
    SUSPICION_LIFETIME,
    SUSPICION_REBROADCAST_TIME,
)
from wasabiwell_entry.state import log_events
from wasabiwell_entry.state.clock import Clock
from wasabiwell_entry.state.exchange import Suspicion
from wasabiwell_entry.state.suspects import Suspect, SuspectTable


class CrashCounts:
    """Counts the targets that crashed while running a request, by the request's fingerprint.

    A request that runs on the same target as a crashing one is suspected too. It is cleared when
    it succeeds, and refused only after `CRASH_LIMIT` targets crashed while running it.
    """

    __slots__ = ("_broadcast", "_clock", "_rebroadcast_until", "_suspects")

    def __init__(self, broadcast: Callable[[Suspicion], None], clock: Clock) -> None:
        self._broadcast = broadcast
        self._clock = clock
        self._suspects = SuspectTable()
        self._rebroadcast_until: dict[str, timedelta] = {}

    def crashes(self, fingerprint: str) -> int:
        """Return how many targets crashed while running a request."""
        suspect = self._suspects.get(fingerprint)
        return len(suspect.targets) if suspect is not None else 0

    def refused(self, fingerprint: str) -> bool:
        """Return whether a request has reached `CRASH_LIMIT` and is sent to no more targets."""
        return self.crashes(fingerprint) >= CRASH_LIMIT

    def record_crash(self, fingerprint: str, target: str) -> None:
        """Record that a target crashed while running a request, and broadcast the suspicion.

        `target` includes the incarnation, so a restarted target counts again.
        """
        merged = self._merge(fingerprint, (target,))
        log_events.emit(log_events.REQUEST_SUSPECTED, fingerprint=fingerprint, target=target)
        self._rebroadcast_until[fingerprint] = self._clock.monotonic() + SUSPICION_REBROADCAST_TIME
        self._broadcast(Suspicion(fingerprint, merged.targets))

    def suspicions(self) -> list[Suspicion]:
        """Return the suspicions that have not expired."""
        self._suspects.remove_expired(self._clock.now())
        return [Suspicion(suspect.fingerprint, suspect.targets) for suspect in self._suspects]

    def recent_suspicions(self) -> list[Suspicion]:
        """Return the suspicions recorded here within `SUSPICION_REBROADCAST_TIME`."""
        now = self._clock.monotonic()
        self._rebroadcast_until = {
            key: until for key, until in self._rebroadcast_until.items() if until > now
        }
        suspects = [self._suspects.get(key) for key in self._rebroadcast_until]
        return [Suspicion(item.fingerprint, item.targets) for item in suspects if item is not None]

    def record_success(self, fingerprint: str) -> None:
        """Clear a request that succeeded, unless it is refused."""
        if self._suspects.get(fingerprint) is None or self.refused(fingerprint):
            return
        self._suspects.remove(fingerprint)
        self._broadcast(Suspicion(fingerprint, ()))

    def receive(self, suspicion: Suspicion) -> None:
        """Merge a suspicion of another entry instance; one without targets clears the request."""
        if suspicion.targets:
            self._merge(suspicion.fingerprint, suspicion.targets)
        elif not self.refused(suspicion.fingerprint):
            self._suspects.remove(suspicion.fingerprint)

    def _merge(self, fingerprint: str, targets: tuple[str, ...]) -> Suspect:
        now = self._clock.now()
        self._suspects.remove_expired(now)
        return self._suspects.merge(Suspect(fingerprint, targets, now + SUSPICION_LIFETIME))
