"""Interfaces that dispatch requires from other layers and capabilities."""

from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager
from dataclasses import dataclass
from datetime import timedelta
from typing import Protocol

from wasabiwell_entry.coordination.dispatch.errors import CallInterrupted, CallNotSent
from wasabiwell_entry.state.outcomes import Refused, ServiceResponse
from wasabiwell_entry.state.probes import ProbeOutcome
from wasabiwell_entry.state.requests import (
    Attempt,
    GenerateRequest,
    ServiceCall,
    Shard,
    StreamItem,
    TokenFrame,
)
from wasabiwell_entry.state.targets import Target


class TokenSink(Protocol):
    """Receiver of a response's tokens; `send` blocks while the caller reads slowly."""

    async def send(self, frame: TokenFrame) -> None:
        """Deliver consecutive tokens, in order and without gaps."""


class EnginePort(Protocol):
    """Connections to engines."""

    def generate(
        self, target: Target, attempt: Attempt
    ) -> AbstractAsyncContextManager[AsyncIterator[StreamItem]]:
        """Run an attempt; the last item is an `EndFrame` or a `StreamInterrupted`.

        Leaving the context cancels the attempt at the engine.
        """

    async def probe(self, target: Target) -> ProbeOutcome:
        """Check on a new connection whether an engine responds."""


class PlainPort(Protocol):
    """Connections to plain services."""

    async def call(
        self, target: Target, call: ServiceCall
    ) -> ServiceResponse | CallNotSent | CallInterrupted:
        """Send a call once; implementations do not retry it."""


@dataclass(frozen=True, slots=True)
class AdmissionGrant:
    """Target and reserved capacity of an admitted request.

    `shards` are reservations on further engines for a prompt larger than one engine's memory.
    """

    target: Target
    priority: int
    reservation_id: str = ""
    shards: tuple[Shard, ...] = ()


class AdmissionPort(Protocol):
    """Admission of requests to engines and plain targets."""

    def admit(
        self, request: GenerateRequest, excluded: frozenset[str]
    ) -> AbstractAsyncContextManager[AdmissionGrant | Refused]:
        """Wait for capacity and reserve it until the context ends.

        `excluded` are ids of targets on which the request has failed.
        """

    def place_call(
        self, call: ServiceCall, excluded: frozenset[str]
    ) -> AbstractAsyncContextManager[Target | Refused]:
        """Choose a target of a plain service."""


@dataclass(frozen=True, slots=True)
class TargetFailure:
    """Report that a target could not be reached or closed a connection early."""

    target_id: str
    at: timedelta


class TargetObserver(Protocol):
    """Receiver of target failures and responses that dispatch observes."""

    def target_lost(self, failure: TargetFailure) -> None:
        """Record that a target may have crashed."""

    def target_answered(self, target_id: str) -> None:
        """Record that a target responded."""


class SuspectObserver(Protocol):
    """Register of requests during which targets crashed."""

    def quarantined(self, fingerprint: str) -> bool:
        """Return whether a request is refused."""

    def suspected(self, fingerprint: str) -> bool:
        """Return whether a target crashed while it processed the request."""

    def exclusive_retry(
        self, fingerprint: str, target_id: str
    ) -> AbstractAsyncContextManager[None]:
        """Wait until no other suspect runs on the target; other requests do not wait."""

    async def record_crash(self, fingerprint: str, target_id: str) -> None:
        """Mark a request as suspect because a target crashed while it processed the request."""

    async def record_success(self, fingerprint: str) -> None:
        """Clear the suspicion of a request that has finished."""
