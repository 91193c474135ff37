"""Routes from callers' requests to services, with the settings that operators configured."""

import enum
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from datetime import timedelta


class RouteKind(enum.Enum):
    """Whether requests of a route may be retried, and whether their responses are streams."""

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at-most-once"
    STREAM = "stream"


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """A service of a route and the weight by which it shares the route's requests."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Assigns requests for a host and a path prefix to services.

    `attempts` is the maximum number of targets on which one request may run. `timeout` limits the
    time to the complete response. `objective` is the latency objective for the complete response,
    or for the first event of a stream; `event_gap` is that for the pauses between events. A
    resumable stream may continue on another target after its last event. Requests of an `anonymous`
    route need no API key. `priority` is the configured one, 0 the highest; it orders
    requests while their service is short of capacity.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    services: tuple[ServiceShare, ...]
    attempts: int
    timeout: timedelta
    objective: timedelta
    event_gap: timedelta
    priority: int = 0
    anonymous: bool = False
    resumable: bool = False

    @property
    def retryable(self) -> bool:
        """Return whether a request may be retried after it may have run; streams are resumed."""
        match self.kind:
            case RouteKind.IDEMPOTENT:
                return True
            case RouteKind.AT_MOST_ONCE:
                return False
            case RouteKind.STREAM:
                return self.resumable


@dataclass(frozen=True, slots=True)
class EngineProfile:
    """Speed and memory of the engines of a service; times are in seconds.

    An engine runs at most `slots` sequences at a time, and its KV cache holds `memory_tokens`
    tokens. `usual_prompt_tokens` and `usual_output_tokens` describe a usual request of the service.
    An engine iteration executes `stride` decode steps while a sequence is decoding. A step takes
    `step_seconds`, plus `step_seconds_per_sequence` for each decoding sequence and
    `step_seconds_per_token` for each token of their contexts. Prefill takes
    `prefill_seconds_per_token` for each token and `prefill_seconds_per_pair` for each pair of a
    token and an earlier one (attention), and handles at most `chunk` tokens in a step.
    `remote_kv_seconds` is added to a step when other engines keep KV cache of the prompt.
    """

    slots: int
    memory_tokens: int
    stride: int
    step_seconds: float
    step_seconds_per_sequence: float
    step_seconds_per_token: float
    prefill_seconds_per_token: float
    prefill_seconds_per_pair: float
    chunk: int
    remote_kv_seconds: float
    usual_prompt_tokens: int
    usual_output_tokens: int

    @property
    def base_event_gap(self) -> float:
        """Return the seconds between the events of a sequence that decodes alone.

        The time for the tokens of its context is left out.
        """
        return self.stride * (self.step_seconds + self.step_seconds_per_sequence)

    @property
    def usual_decode_seconds(self) -> float:
        """Return the seconds that decoding a response of the usual length takes."""
        return self.usual_output_tokens * self.base_event_gap / self.stride

    def prefill_seconds(self, tokens: int) -> float:
        """Return the seconds that an idle engine takes to prefill a prompt."""
        pairs = tokens * tokens / 2
        steps = tokens / self.chunk
        return (
            tokens * self.prefill_seconds_per_token
            + pairs * self.prefill_seconds_per_pair
            + steps * self.step_seconds
        )


@dataclass(frozen=True, slots=True)
class ServiceSettings:
    """A service; `engine` is None for a plain one. `connection_limit` applies to each target.

    A target that has just started is cold for `cold_seconds`, and then sustains `cold_rate`
    requests a second. Both are 0 where this does not apply.
    """

    name: str
    connection_limit: int
    engine: EngineProfile | None = None
    cold_seconds: float = 0.0
    cold_rate: float = 0.0


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Size limits of a caller's request, in bytes, and timeouts of a caller's connection."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 4 * 1024 * 1024
    header_timeout: timedelta = timedelta(seconds=3)
    idle_timeout: timedelta = timedelta(seconds=15)


@dataclass(frozen=True, slots=True)
class RouteTable:
    """One version of the routes, with the services, limits and callers' keys.

    `organisations` maps the keys of callers to organisation names. It may be empty although
    `requires_keys` is set: then no key is valid, as the last one has been withdrawn. `priorities`
    has the priorities of the organisations that have one, which take precedence over those of the
    routes. `organisation_count` is the number of configured organisations.
    """

    version: int
    services: Mapping[str, ServiceSettings]
    limits: CallerLimits
    organisations: Mapping[str, str] = field(repr=False)
    by_host: Mapping[str, Mapping[str, Route]] = field(repr=False)
    requires_keys: bool = False
    priorities: Mapping[str, int] = field(default_factory=dict)
    organisation_count: int = 0

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of the path; prefixes end with a slash."""
        routes = self.by_host.get(host)
        if not routes:
            return None
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            if (route := routes.get(path[: end + 1])) is not None:
                return route
        return None


def routes_by_host(routes: Iterable[Route]) -> dict[str, dict[str, Route]]:
    """Return routes by host and prefix; of duplicates the first one is used."""
    by_host: dict[str, dict[str, Route]] = {}
    for route in routes:
        by_host.setdefault(route.host, {}).setdefault(route.prefix, route)
    return by_host


NO_ROUTES = RouteTable(0, {}, CallerLimits(), {}, {})
"""Routes of an entry instance that has not read any version yet."""
