"""MessagePack encoding of the notices between entry instances."""

from typing import Any

import msgspec

from wasabiwell_entry.state.exchange import (
    DecodeStarted,
    HelperLoss,
    ListingNotice,
    NodeAddresses,
    NodeState,
    Notice,
    PaceSample,
    PeerLoss,
    RequestEnded,
    RequestPlaced,
    RetryNotice,
    RoutesConfirmed,
    SlowdownNotice,
    StaleIncarnation,
    StoreUnreachable,
    Suspicions,
    TargetDepartures,
    WatchRequest,
)

NOTICE_TYPES: tuple[type[Notice], ...] = (
    RequestPlaced,
    DecodeStarted,
    SlowdownNotice,
    RequestEnded,
    Suspicions,
    ListingNotice,
    NodeState,
    NodeAddresses,
    HelperLoss,
    PeerLoss,
    RetryNotice,
    WatchRequest,
    TargetDepartures,
    RoutesConfirmed,
    StoreUnreachable,
    StaleIncarnation,
    PaceSample,
)
"""The first byte of a datagram is the index of the notice's type in this tuple."""

_ENCODER = msgspec.msgpack.Encoder()
_DECODERS: tuple[msgspec.msgpack.Decoder[Any], ...] = tuple(
    msgspec.msgpack.Decoder(notice_type) for notice_type in NOTICE_TYPES
)


class UnreadableNoticeError(Exception):
    """The datagram cannot be decoded."""


def encode_notice(notice: Notice) -> bytes:
    """Return the datagram for a notice."""
    return bytes((NOTICE_TYPES.index(type(notice)),)) + _ENCODER.encode(notice)


def decode_notice(data: bytes) -> Notice:
    """Return the notice in a datagram; raises `UnreadableNoticeError`."""
    if not data or data[0] >= len(NOTICE_TYPES):
        raise UnreadableNoticeError("unknown notice type")
    try:
        notice: Notice = _DECODERS[data[0]].decode(data[1:])
    except (msgspec.DecodeError, RecursionError) as error:
        raise UnreadableNoticeError(str(error)) from error
    return notice
