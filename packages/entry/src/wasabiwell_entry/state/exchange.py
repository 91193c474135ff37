"""Notices that entry instances send each other about placements, targets and their own state.

They are small datagrams that may be lost, duplicated or delayed; `NodeState` repeats all lasting
state. Fields are encoded by position, because notices are most of the traffic between zones.
"""

import enum
from typing import Annotated

import msgspec

from wasabiwell_entry.state.crashes import Cause, Crash
from wasabiwell_entry.state.store_revision import StoreRevision
from wasabiwell_entry.state.targets import ListedTarget, TargetProcess

FEATURES = 1
"""Message types that this build understands. 1 adds `PaceSample`; builds before it send 0."""
MAX_INCARNATION = 2**63 - 2
"""A peer must be able to exceed an incarnation that another one knows, and to encode the result."""
Incarnation = Annotated[int, msgspec.Meta(le=MAX_INCARNATION)]


class AttemptVerdict(enum.Enum):
    """Result of one attempt, as evidence about its target's health."""

    ANSWERED = "answered"
    REFUSED = "refused"
    FAILED = "failed"
    LOST = "lost"
    ABANDONED = "abandoned"


class PlacementNotice(msgspec.Struct, frozen=True, array_like=True):
    """A placed request; times in milliseconds are relative to when the notice is sent.

    `age_ms` is the time since the placement. `due_in_ms` is the time left until the first event or
    the response is due. `gap_ms` is the longest allowed pause between events. `prompt` is 0 for
    requests of plain services. `helper_kv_tokens` are the prompt tokens whose KV cache each of the
    first helpers keeps. `organisation` is empty if it is unknown, as from instances of an older
    version.
    """

    request_id: str
    service: str
    lead: str
    helpers: tuple[str, ...]
    age_ms: int
    due_in_ms: int
    gap_ms: int
    prompt: int
    max_output: int
    expected_output: int
    decoding: bool = False
    helper_kv_tokens: tuple[int, ...] = ()
    organisation: str = ""


class RetryBudgetUse(msgspec.Struct, frozen=True, array_like=True):
    """Requests for a service and their retries in the last window of the retry budget."""

    service: str
    requests: int
    retries: int


class RequestPlaced(msgspec.Struct, frozen=True, array_like=True):
    """The sender has placed a request."""

    notice: PlacementNotice


class DecodeStarted(msgspec.Struct, frozen=True, array_like=True):
    """The first event of a placed request has arrived: prefill is done and decode has started."""

    request_id: str


class SlowdownNotice(msgspec.Struct, frozen=True, array_like=True):
    """A target takes `slowdown` times as long as usual for its work."""

    target_id: str
    slowdown: float


class RequestEnded(msgspec.Struct, frozen=True, array_like=True):
    """A placed request has ended; the verdict is about its lead."""

    request_id: str
    target_id: str
    verdict: AttemptVerdict


class PaceSample(msgspec.Struct, frozen=True, array_like=True):
    """A recovering target has answered the sender, in the predicted time or late."""

    process: TargetProcess
    on_time: bool


class HelperLoss(msgspec.Struct, frozen=True, array_like=True):
    """A helper target is unreachable, as reported by the lead of a request with split prefill."""

    target_id: str


class TargetDepartures(msgspec.Struct, frozen=True, array_like=True):
    """Targets have announced that they are leaving, to the sender or to another instance."""

    processes: tuple[TargetProcess, ...]


class RoutesConfirmed(msgspec.Struct, frozen=True, array_like=True):
    """The sender has just read the store: `version` of the routes is the newest one.

    `evacuated_zones` are the zones that are evacuated at the revision of the store with
    `evacuation_era` and `evacuation_number`. The number is 0 from an instance that knows none.
    """

    control_address: str
    version: int
    evacuation_era: int = 0
    evacuation_number: int = 0
    evacuated_zones: tuple[str, ...] = ()


class StoreUnreachable(msgspec.Struct, frozen=True, array_like=True):
    """The sender follows the store for others, but its last read failed."""


class PeerLoss(msgspec.Struct, frozen=True, array_like=True):
    """An entry instance that the sender monitors is silent.

    `incarnation` and `sequence` are those of the last state that the sender received from it.
    """

    address: str
    incarnation: Incarnation
    sequence: int


class StaleIncarnation(msgspec.Struct, frozen=True, array_like=True):
    """The receiver has sent a state with a lower incarnation than the one that the sender knows.

    Incarnations are start times, which decrease when the clock of a machine is set back.
    """

    known: Incarnation


class WatchRequest(msgspec.Struct, frozen=True, array_like=True):
    """The sender monitors the receiver and asks it to send its state frequently."""


class RetryNotice(msgspec.Struct, frozen=True, array_like=True):
    """The sender has retried a request for a service; its next state includes this retry."""

    service: str


class Suspicion(msgspec.Struct, frozen=True, array_like=True):
    """The crashes for which a cause is suspected; those that were `cleared` do not count.

    `proven` is set when a request with the cause has succeeded lately.
    """

    cause: Cause
    crashes: tuple[Crash, ...]
    cleared: tuple[Crash, ...] = ()
    proven: bool = False


class Suspicions(msgspec.Struct, frozen=True, array_like=True):
    """Suspicions in one message, as a cause may explain the crashes of another one."""

    items: tuple[Suspicion, ...]


class ListingNotice(msgspec.Struct, frozen=True, array_like=True):
    """Changes in the platform's list of targets.

    `number` and `era` are the store's revision at the time of the read. `digest` identifies the
    whole list; `changed` and `removed` are the difference from the list with the digest `base`.
    `rewritten` are the ids of targets whose entries were written again without a change.
    """

    number: int
    base: int
    digest: int
    changed: tuple[ListedTarget, ...]
    removed: tuple[str, ...]
    era: int = 0
    rewritten: tuple[str, ...] = ()

    @property
    def revision(self) -> StoreRevision:
        """Return the store's revision at the time of the read."""
        return StoreRevision(self.era, self.number)


class NodeState(msgspec.Struct, frozen=True, array_like=True):
    """Heartbeat with the state of an entry instance; also sent when `serving` changes.

    `incarnation` is the start time in milliseconds since 1970, or higher if the clock has been set
    back since an earlier process at the same address, and `sequence` counts the states
    that were sent. `routes_version` is the version of the routes in use. `uses` are the counts for
    the retry budget. `placed` are the ids of the open requests that it has placed, so that
    receivers drop those whose end notice was lost. `peers` is the number of entry instances from
    which it receives messages. `interval_ms` is the time between its states to the receiver.
    `reaches_targets` is false while the sender is cut off from all targets, and None from instances
    of an older version, which do not take requests that a peer relays. `features` is the set of
    message types that it understands, as a number that grows with each addition. `capacity` is the
    load that it can bear relative to other instances, 0 if unknown. The evacuation fields are those
    of `RoutesConfirmed`.
    """

    incarnation: Incarnation
    sequence: int
    region: str
    zone: str
    caller_address: str
    control_address: str
    serving: bool
    leaving: bool
    routes_version: int
    knows_targets: bool
    uses: tuple[RetryBudgetUse, ...]
    placed: tuple[str, ...]
    peers: int = 0
    interval_ms: int = 500
    reaches_targets: bool | None = None
    features: int = 0
    capacity: int = 0
    evacuation_era: int = 0
    evacuation_number: int = 0
    evacuated_zones: tuple[str, ...] = ()


class NodeAddresses(msgspec.Struct, frozen=True, array_like=True):
    """Datagram addresses of the entry instances in the sender's node table."""

    addresses: tuple[str, ...]


Notice = (
    RequestPlaced
    | DecodeStarted
    | SlowdownNotice
    | RequestEnded
    | Suspicions
    | ListingNotice
    | NodeState
    | NodeAddresses
    | HelperLoss
    | PeerLoss
    | RoutesConfirmed
    | StaleIncarnation
    | StoreUnreachable
    | TargetDepartures
    | RetryNotice
    | WatchRequest
    | PaceSample
)
