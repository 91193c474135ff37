"""What dispatching needs of the other layers and capabilities."""

from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager
from dataclasses import dataclass
from datetime import timedelta
from typing import Protocol

from wasabiwell_entry.coordination.dispatch.errors import CallInterrupted, CallNotSent, ProbeOutcome
from wasabiwell_entry.state.outcomes import Refused, ServiceResponse
from wasabiwell_entry.state.requests import (
    Attempt,
    GenerateRequest,
    ServiceCall,
    Shard,
    StreamItem,
    TokenFrame,
)
from wasabiwell_entry.state.targets import Target


class ResponseSink(Protocol):
    """Receiver of an answer's tokens; `send` waits while the caller reads slowly."""

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
        """Ask an engine for a sign of life on a new connection."""


class PlainPort(Protocol):
    """Connections to plain services."""

    async def call(
        self, target: Target, call: ServiceCall
    ) -> ServiceResponse | CallNotSent | CallInterrupted:
        """Send a call once; it is not repeated below this interface."""


@dataclass(frozen=True, slots=True)
class Placement:
    """Where an admitted request may run.

    Shards hold the memory on further engines for a prompt larger than one engine's memory.
    """

    target: Target
    priority: int
    reservation_id: str = ""
    shards: tuple[Shard, ...] = ()


class AdmissionPort(Protocol):
    """Admission of requests to engines and plain targets."""

    def admit(
        self, request: GenerateRequest, excluded: frozenset[str]
    ) -> AbstractAsyncContextManager[Placement | Refused]:
        """Wait for capacity; leaving the context gives all of it back.

        `excluded` are ids of targets on which the request failed before.
        """

    def place_call(
        self, call: ServiceCall, excluded: frozenset[str]
    ) -> AbstractAsyncContextManager[Target | Refused]:
        """Choose a target of a plain service."""


@dataclass(frozen=True, slots=True)
class TargetFailure:
    """Report of a target that could not be reached or cut a connection."""

    target_id: str
    at: timedelta


class TargetObserver(Protocol):
    """Receiver of what dispatching sees of targets."""

    def target_lost(self, failure: TargetFailure) -> None:
        """Note that a target may have died."""

    def target_answered(self, target_id: str) -> None:
        """Note that a target answered."""


class SuspectObserver(Protocol):
    """Marks of requests that ran on targets which died."""

    def quarantined(self, fingerprint: str) -> bool:
        """Return whether a request is refused."""

    def suspected(self, fingerprint: str) -> bool:
        """Return whether a target died while it ran the request."""

    def exclusive_retry(
        self, fingerprint: str, target_id: str
    ) -> AbstractAsyncContextManager[None]:
        """Wait until no other suspect runs on the target; others do not wait."""

    async def record_crash(self, fingerprint: str, target_id: str) -> None:
        """Mark a request that ran on a target when it died."""

    async def record_success(self, fingerprint: str) -> None:
        """Clear a request that has finished."""
