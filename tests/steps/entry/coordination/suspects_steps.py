"""Steps for retries of suspects."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from datetime import UTC, datetime, timedelta

import trio
import trio.testing
import xxhash
from behave import given, then, when
from behave.runner import Context
from support.calls import PlainTargets, VirtualClock
from support.fakes import FakeTable, NoSuspectGossip
from wasabiwell_entry.coordination.dispatch import Dispatcher
from wasabiwell_entry.coordination.dispatch.ports import AdmissionGrant, TargetFailure
from wasabiwell_entry.coordination.quarantine.coordinator import QuarantineCoordinator
from wasabiwell_entry.state.outcomes import Finished, Refused
from wasabiwell_entry.state.probes import ProbeOutcome, TargetAlive, TargetDown
from wasabiwell_entry.state.requests import (
    Attempt,
    EndFrame,
    GenerateRequest,
    ServiceCall,
    StreamInterrupted,
    StreamItem,
    TokenFrame,
)
from wasabiwell_entry.state.suspects import Suspect, SuspectTable
from wasabiwell_entry.state.targets import Target, TargetKind


class Engines:
    """Engines, some of them crashed; also serves as admission port and target observer."""

    def __init__(self) -> None:
        self.targets = [Target(f"e{n}", TargetKind.ENGINE, "s", f"e{n}", "r", "z") for n in (1, 2)]
        self.crashed: set[str] = set()
        self.served: list[str] = []

    @asynccontextmanager
    async def admit(
        self, request: GenerateRequest, excluded: frozenset[str]
    ) -> AsyncIterator[AdmissionGrant | Refused]:
        """Place a request on the first engine that is not excluded."""
        usable = [item for item in self.targets if item.target_id not in excluded]
        yield AdmissionGrant(usable[0], 1)

    @asynccontextmanager
    async def place_call(
        self, call: ServiceCall, excluded: frozenset[str]
    ) -> AsyncIterator[Target | Refused]:
        """Do not support calls."""
        raise NotImplementedError
        yield

    @asynccontextmanager
    async def generate(
        self, target: Target, attempt: Attempt
    ) -> AsyncIterator[AsyncIterator[StreamItem]]:
        """Finish without tokens, or cut the connection if the engine has crashed."""

        async def items() -> AsyncIterator[StreamItem]:
            await trio.lowlevel.checkpoint()
            if target.target_id in self.crashed:
                yield StreamInterrupted("cut", target_lost=True)
                return
            self.served.append(target.target_id)
            yield EndFrame(0, xxhash.xxh3_64().hexdigest(), "stop")

        yield items()

    async def probe(self, target: Target) -> ProbeOutcome:
        """Return whether an engine is alive."""
        await trio.lowlevel.checkpoint()
        return TargetDown() if target.target_id in self.crashed else TargetAlive()

    def target_lost(self, failure: TargetFailure) -> None:
        """Do nothing."""

    def target_answered(self, target_id: str) -> None:
        """Do nothing."""


class NoSink:
    """Sink that discards tokens."""

    async def send(self, frame: TokenFrame) -> None:
        """Do nothing."""


@given(
    'a suspect that is placed on target "e1", where another suspect runs for {seconds:d} seconds'
)
def step_suspects(context: Context, seconds: int) -> None:
    context.seconds = seconds
    context.clock = VirtualClock()
    context.engines = Engines()
    suspects = SuspectTable()
    expires = datetime(2026, 1, 2, tzinfo=UTC)
    for fingerprint in ("waiting", "other"):
        suspects.merge(Suspect(fingerprint, ("e0",), expires))
    context.quarantine = QuarantineCoordinator(
        FakeTable(), suspects, NoSuspectGossip(), lambda: 2, context.clock
    )


@when('target "{target_id}" crashes while it runs the other suspect')
def step_crash(context: Context, target_id: str) -> None:
    run_suspects(context, {target_id})


@when("the other suspect finishes")
def step_finish(context: Context) -> None:
    run_suspects(context, set())


def run_suspects(context: Context, crashed: set[str]) -> None:
    """Run both suspects; the engines `crashed` crash when the other suspect ends."""

    async def run_other() -> None:
        async with context.quarantine.exclusive_retry("other", "e1"):
            await trio.sleep(context.seconds)
            context.engines.crashed |= crashed

    async def run() -> None:
        engines, clock = context.engines, context.clock
        plain = PlainTargets((), clock)
        dispatcher = Dispatcher(engines, engines, plain, None, engines, context.quarantine, clock)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(run_other)
            await trio.sleep(0.1)
            now = clock.monotonic()
            request = GenerateRequest(
                "r1", "org", "s", b"[]", 10, 10, "waiting", now, now + timedelta(seconds=30)
            )
            context.outcome = await dispatcher.generate(request, NoSink())

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


@then('the waiting suspect is answered by target "{target_id}"')
def step_served(context: Context, target_id: str) -> None:
    assert isinstance(context.outcome, Finished), context.outcome
    assert context.engines.served == [target_id], context.engines.served


@then("it is not suspected any more")
def step_cleared(context: Context) -> None:
    assert not context.quarantine.suspected("waiting")
