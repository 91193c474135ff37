"""Mean response times of plain services, by which responses of recovering targets are judged."""

from dataclasses import dataclass, field

from wasabiwell_entry.coordination.pacing.const import RESPONSE_TIME_WEIGHT


@dataclass(slots=True)
class ResponseTimes:
    """Moving averages of the response times of targets in steady state, in seconds by service."""

    _means: dict[str, float] = field(default_factory=dict)

    def record(self, service: str, seconds: float) -> None:
        """Record the response time of a target in steady state."""
        mean = self._means.get(service, seconds)
        self._means[service] = mean + RESPONSE_TIME_WEIGHT * (seconds - mean)

    def mean(self, service: str) -> float | None:
        """Return the mean response time of a service, or None without a response."""
        return self._means.get(service)

    def retain(self, services: set[str]) -> None:
        """Remove the services that are not in a set."""
        for service in [name for name in self._means if name not in services]:
            del self._means[service]
