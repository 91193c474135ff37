"""What a target says of itself in its answers, and whether its callers heed it."""

from dataclasses import dataclass, field

REACTION_SECONDS = 0.5
"""Time after the refusal of a pause within which further requests may still be under way."""
MAX_REQUESTS_IN_PAUSE = 2
"""Required limit for the requests from one machine within a pause."""


@dataclass(slots=True)
class Pause:
    """A pause that was asked for in one refusal, and the requests that came in it nevertheless."""

    asked_at: float
    seconds: float
    requests: int = 0

    def covers(self, moment: float) -> bool:
        """Return whether a request at a moment comes within the pause."""
        return self.asked_at + REACTION_SECONDS < moment < self.asked_at + self.seconds


@dataclass(slots=True)
class Announcements:
    """Departure and pauses of a target; times are in seconds.

    `departure_told_at` is when the first answer with the announced departure was sent.
    """

    leaving: bool = False
    departure_told_at: float | None = None
    pauses: list[Pause] = field(default_factory=list)

    def headers(self, now: float) -> list[tuple[str, str]]:
        """Return the headers for an answer that is sent now."""
        if not self.leaving:
            return []
        if self.departure_told_at is None:
            self.departure_told_at = now
        return [("Server-Leaving", "1")]

    def ask_pause(self, now: float, seconds: float) -> list[tuple[str, str]]:
        """Return the headers of a refusal that asks for a pause."""
        self.pauses.append(Pause(now, seconds))
        return [("Retry-After", f"{seconds:.3f}")]

    def count_request(self, now: float) -> None:
        """Count a request that has arrived."""
        for pause in self.pauses:
            pause.requests += pause.covers(now)

    def exceeded_pauses(self, machines: int) -> list[Pause]:
        """Return the pauses in which more requests came than `machines` may send.

        The target does not know which machine a request comes from, so each machine may also learn
        of the pause by a request of its own.
        """
        limit = machines * (MAX_REQUESTS_IN_PAUSE + 1)
        return [pause for pause in self.pauses if pause.requests > limit]
