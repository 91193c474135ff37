"""Messages by which entry instances tell each other what they place, see and know.

They are small datagrams that may be lost, doubled or late; `NodeState` repeats what lasts. Fields
are encoded by their place, as most bytes between zones are these messages.
"""

import enum

import msgspec

from wasabiwell_entry.state.targets import ListedTarget


class AttemptVerdict(enum.Enum):
    """How a target did on one request."""

    ANSWERED = "answered"
    REFUSED = "refused"
    FAILED = "failed"
    LOST = "lost"
    ABANDONED = "abandoned"


class PlacementNotice(msgspec.Struct, frozen=True, array_like=True):
    """A request was placed; ages and times are milliseconds before the message was sent.

    `due_in_ms` is the time until the first event or the answer has to be there. `prompt` is 0 for
    requests of plain services. `helper_kv_tokens` are the tokens kept by each of the first helpers.
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


class RetryBudgetUse(msgspec.Struct, frozen=True, array_like=True):
    """Requests for a service and repeated sends in the last window of the retry budget."""

    service: str
    requests: int
    retries: int


class RequestPlaced(msgspec.Struct, frozen=True, array_like=True):
    """The sender has placed a request."""

    notice: PlacementNotice


class DecodeStarted(msgspec.Struct, frozen=True, array_like=True):
    """The first event of a placed request has arrived."""

    request_id: str


class SlowdownNotice(msgspec.Struct, frozen=True, array_like=True):
    """A target takes `slowdown` times as long as usual."""

    target_id: str
    slowdown: float


class RequestEnded(msgspec.Struct, frozen=True, array_like=True):
    """A placed request has ended; the verdict is that on its lead."""

    request_id: str
    target_id: str
    verdict: AttemptVerdict


class HelperLoss(msgspec.Struct, frozen=True, array_like=True):
    """A target is gone that was to read a part of a prompt; the lead of the request has said so."""

    target_id: str


class PeerLoss(msgspec.Struct, frozen=True, array_like=True):
    """An entry instance is silent that the sender watches; the last state that it had of it."""

    address: str
    incarnation: int
    sequence: int


class WatchRequest(msgspec.Struct, frozen=True, array_like=True):
    """The sender watches the receiver and asks it for frequent states."""


class RetryNotice(msgspec.Struct, frozen=True, array_like=True):
    """The sender has repeated a request for a service, which its next state counts too."""

    service: str


class Suspicion(msgspec.Struct, frozen=True, array_like=True):
    """Targets died while they ran a request; with no targets the request is cleared."""

    fingerprint: str
    targets: tuple[str, ...]


class ListingNotice(msgspec.Struct, frozen=True, array_like=True):
    """A read of the platform's list of targets.

    `revision` is the platform's count of changes at the read. `digest` is that of the whole list,
    `changed` and `removed` the difference to the list with the digest `base`.
    """

    revision: int
    base: int
    digest: int
    changed: tuple[ListedTarget, ...]
    removed: tuple[str, ...]


class NodeState(msgspec.Struct, frozen=True, array_like=True):
    """The state of an entry instance, sent at intervals and at each change of `serving`.

    `incarnation` is the time of its start in milliseconds since 1970 and `sequence` counts its
    states. `routes_version` is the version of the routes in force. `placed` are the ids of what it
    has placed, so that receivers drop what has ended unheard. `peers` is the number of entry
    instances that it hears. `interval_ms` is the time between its states to the receiver.
    """

    incarnation: int
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


class NodeAddresses(msgspec.Struct, frozen=True, array_like=True):
    """Datagram addresses of the entry instances that the sender knows."""

    addresses: tuple[str, ...]


Notice = (
    RequestPlaced
    | DecodeStarted
    | SlowdownNotice
    | RequestEnded
    | Suspicion
    | ListingNotice
    | NodeState
    | NodeAddresses
    | HelperLoss
    | PeerLoss
    | RetryNotice
    | WatchRequest
)
