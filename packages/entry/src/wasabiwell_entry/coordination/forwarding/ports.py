"""Interfaces that forwarding requires from other layers."""

from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager
from typing import Protocol

from wasabiwell_entry.state.forwarding import (
    AttemptItem,
    ForwardAttempt,
    PeerAttempt,
    ResponseHead,
)
from wasabiwell_entry.state.probes import ProbeOutcome
from wasabiwell_entry.state.targets import Target


class ResponseSink(Protocol):
    """Receiver of a response; its methods block while the caller reads slowly."""

    async def begin(self, head: ResponseHead) -> None:
        """Deliver status and headers."""

    async def send(self, data: bytes) -> None:
        """Deliver the next bytes of the body."""

    async def finish(self) -> None:
        """Mark the body as complete."""

    async def may_buffer(self, size: int) -> bool:
        """Reserve so many bytes of the response; return False if there is no room for them."""

    def release_target(self) -> None:
        """Note that the target has ended its work; the rest is sent from memory."""


class TargetPort(Protocol):
    """Connections to targets."""

    def attempt(
        self, attempt: ForwardAttempt
    ) -> AbstractAsyncContextManager[AsyncIterator[AttemptItem]]:
        """Send a request once; the last item is an `ResponseEnd` or the reason why there is none.

        Leaving the context cancels the request at the target.
        """

    async def probe(self, target: Target) -> ProbeOutcome:
        """Check with a new connection whether a target still runs."""


class PeerPort(Protocol):
    """Connections to other entry instances that run requests for this one."""

    def attempt(
        self, attempt: PeerAttempt
    ) -> AbstractAsyncContextManager[AsyncIterator[AttemptItem]]:
        """Send a request to a peer once, as `TargetPort.attempt` does to a target.

        A refusal is `NotRun` if a target of the peer got the request, and otherwise `NotSent`.
        """
