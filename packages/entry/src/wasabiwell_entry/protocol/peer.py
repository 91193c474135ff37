"""RPC methods between entry instances, and their messages."""

from dataclasses import dataclass
from datetime import timedelta
from typing import Any, Generic, TypeVar

import msgspec

from wasabiwell_entry.coordination.credits.errors import CreditRefused
from wasabiwell_entry.coordination.credits.ports import CreditGranted, CreditReturn
from wasabiwell_entry.coordination.lifecycle.ports import PeerSnapshot
from wasabiwell_entry.coordination.limits.shares import LimitGrant, LimitRequest
from wasabiwell_entry.state.configuration import ConfigurationDelta, ConfigurationUpdate
from wasabiwell_entry.state.credits import CreditClaim
from wasabiwell_entry.state.heartbeats import Announcement, Heartbeat
from wasabiwell_entry.state.marks import Mark
from wasabiwell_entry.state.members import Member, MemberStatus

Request = TypeVar("Request")
Reply = TypeVar("Reply")

SERVICE_NAME = "wasabiwell.Peer"


@dataclass(frozen=True, slots=True)
class PeerMethod(Generic[Request, Reply]):
    """A method of the service `wasabiwell.Peer`."""

    name: str
    request_type: type[Request]
    reply_type: type[Reply]

    @property
    def path(self) -> str:
        """Return the HTTP path of the method."""
        return f"/{SERVICE_NAME}/{self.name}"


@dataclass(frozen=True, slots=True)
class ConfigurationQuery:
    """Request for the configuration versions after `since`."""

    since: int


@dataclass(frozen=True, slots=True)
class VersionAck:
    """The active configuration version of the instance that received a push."""

    version: int


@dataclass(frozen=True, slots=True)
class Ack:
    """The message was applied, now or by an earlier delivery."""


@dataclass(frozen=True, slots=True)
class CreditRequest:
    """Claims of one holder for engines of one owner."""

    claims: list[CreditClaim]


@dataclass(frozen=True, slots=True)
class CreditGrant:
    """Response to a `CreditRequest`; each claimed engine is in one of the lists."""

    grants: list[CreditGranted]
    refusals: list[CreditRefused]


@dataclass(frozen=True, slots=True)
class CreditRelease:
    """Credits that a holder releases."""

    returns: list[CreditReturn]


@dataclass(frozen=True, slots=True)
class OwnerQuery:
    """Request of a new owner for the credits that a holder has on its engines."""

    engine_ids: list[str]


@dataclass(frozen=True, slots=True)
class OutstandingReply:
    """Credit and use of the requested engines at one holder."""

    claims: list[CreditClaim]


@dataclass(frozen=True, slots=True)
class RateRequest:
    """Request for loads from the instance that owns the region's share of the weight store rate."""

    count: int


@dataclass(frozen=True, slots=True)
class RateGrant:
    """Number of loads that may start now."""

    granted: int


@dataclass(frozen=True, slots=True)
class SnapshotQuery:
    """Request of a starting entry instance, `node_id`, for a peer's current state."""

    node_id: str


class MemberFrame(msgspec.Struct, frozen=True, array_like=True):
    """Member in a heartbeat, encoded without field names."""

    node_id: str
    incarnation: int
    region: str
    zone: str
    caller_address: str
    peer_address: str
    status: MemberStatus


class MarkFrame(msgspec.Struct, frozen=True, array_like=True):
    """Mark in a heartbeat, encoded without field names."""

    kind: str
    key: str
    origin: str
    counter: int
    expires: int
    active: bool
    value: bytes


class HeartbeatFrame(msgspec.Struct, frozen=True, array_like=True):
    """Heartbeat, encoded without field names because they would double its size.

    `confirmation_age_ms` is -1 when the version was never confirmed.
    """

    sender: str
    incarnation: int
    digest: int
    version: int
    confirmation_age_ms: int
    members: tuple[MemberFrame, ...] = ()
    marks: tuple[MarkFrame, ...] = ()


def frame_from_heartbeat(heartbeat: Heartbeat) -> HeartbeatFrame:
    """Return the frame for a heartbeat; the age is rounded up to whole milliseconds."""
    age = heartbeat.announcement.confirmation_age
    return HeartbeatFrame(
        heartbeat.sender,
        heartbeat.incarnation,
        heartbeat.digest,
        heartbeat.announcement.version,
        -1 if age is None else age // timedelta(milliseconds=1) + 1,
        tuple(
            MemberFrame(*(getattr(member, name) for name in MemberFrame.__struct_fields__))
            for member in heartbeat.members
        ),
        tuple(
            MarkFrame(*(getattr(mark, name) for name in MarkFrame.__struct_fields__))
            for mark in heartbeat.marks
        ),
    )


def heartbeat_from_frame(frame: HeartbeatFrame) -> Heartbeat:
    """Return the heartbeat in a frame."""
    age = frame.confirmation_age_ms
    return Heartbeat(
        frame.sender,
        frame.incarnation,
        frame.digest,
        Announcement(frame.version, None if age < 0 else timedelta(milliseconds=age)),
        tuple(Member(*msgspec.structs.astuple(member)) for member in frame.members),
        tuple(Mark(*msgspec.structs.astuple(mark)) for mark in frame.marks),
    )


EXCHANGE: PeerMethod[HeartbeatFrame, HeartbeatFrame] = PeerMethod(
    "Exchange", HeartbeatFrame, HeartbeatFrame
)
FETCH_CONFIGURATION: PeerMethod[ConfigurationQuery, ConfigurationUpdate] = PeerMethod(
    "FetchConfiguration", ConfigurationQuery, ConfigurationUpdate
)
PUSH_CONFIGURATION: PeerMethod[ConfigurationDelta, VersionAck] = PeerMethod(
    "PushConfiguration", ConfigurationDelta, VersionAck
)
FETCH_SNAPSHOT: PeerMethod[SnapshotQuery, PeerSnapshot] = PeerMethod(
    "FetchSnapshot", SnapshotQuery, PeerSnapshot
)

ACQUIRE_CREDIT: PeerMethod[CreditRequest, CreditGrant] = PeerMethod(
    "AcquireCredit", CreditRequest, CreditGrant
)
RELEASE_CREDIT: PeerMethod[CreditRelease, Ack] = PeerMethod("ReleaseCredit", CreditRelease, Ack)
OUTSTANDING_CREDITS: PeerMethod[OwnerQuery, OutstandingReply] = PeerMethod(
    "OutstandingCredits", OwnerQuery, OutstandingReply
)

ACQUIRE_WEIGHT_RATE: PeerMethod[RateRequest, RateGrant] = PeerMethod(
    "AcquireWeightRate", RateRequest, RateGrant
)

ACQUIRE_LIMIT: PeerMethod[LimitRequest, LimitGrant] = PeerMethod(
    "AcquireLimit", LimitRequest, LimitGrant
)

AnyMethod = PeerMethod[Any, Any]
