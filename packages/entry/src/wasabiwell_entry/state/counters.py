"""Counts of one entry instance; the operators' status and the metrics both read them."""

from collections import Counter
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class RequestKind:
    """What requests are counted by: `kind` is generate or call, `outcome` a failure code or `ok`.

    `run` is what is proved about the execution: not-run, unknown or ran.
    """

    kind: str
    outcome: str
    run: str


@dataclass(slots=True)
class Counters:
    """Counts since the start of the process."""

    requests: Counter[RequestKind] = field(default_factory=Counter)
    store_calls: Counter[tuple[str, str]] = field(default_factory=Counter)
    """Calls by operation and outcome."""
    retries: int = 0
    tokens_relayed: int = 0
    open_streams: int = 0


@dataclass(slots=True)
class ControlTraffic:
    """Messages between entry instances and their encoded bytes, without HTTP/2 frames."""

    sent_messages: int = 0
    sent_bytes: int = 0
    received_messages: int = 0
    received_bytes: int = 0
