"""MessagePack codec of peer messages for grpclib."""

from typing import Any

import msgspec
from grpclib.encoding.base import CodecBase

from wasabiwell_entry.state.counters import ControlTraffic

CONTROL_TRAFFIC = ControlTraffic()
"""Traffic of all channels of this process, which runs one entry instance."""


class MessagePackCodec(CodecBase):
    """Encodes message classes with msgspec, without generated protobuf code."""

    __content_subtype__ = "msgpack"

    def encode(self, message: Any, message_type: Any) -> bytes:
        """Return the encoded message."""
        data = msgspec.msgpack.encode(message)
        CONTROL_TRAFFIC.sent_messages += 1
        CONTROL_TRAFFIC.sent_bytes += len(data)
        return data

    def decode(self, data: bytes, message_type: Any) -> Any:
        """Return the decoded message of the given class; raises `msgspec.DecodeError`."""
        CONTROL_TRAFFIC.received_messages += 1
        CONTROL_TRAFFIC.received_bytes += len(data)
        return msgspec.msgpack.decode(data, type=message_type)
