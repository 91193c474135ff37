"""A deployment in one process: entry instances, a table service and one plain target."""

from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from datetime import UTC, datetime, timedelta

import trio
from wasabiwell_entry.coordination.dispatch import Dispatcher
from wasabiwell_entry.coordination.dispatch.errors import CallInterrupted, CallNotSent
from wasabiwell_entry.coordination.dispatch.ports import TargetFailure
from wasabiwell_entry.coordination.runs import RunCoordinator
from wasabiwell_entry.state.outcomes import CallOutcome, Reason, Refused, ServiceResponse
from wasabiwell_entry.state.requests import ServiceCall
from wasabiwell_entry.state.targets import Target, TargetKind

from support.fakes import FakeObjects, FakeTable

CALL_TIMEOUT = timedelta(seconds=20)


class VirtualClock:
    """Clock of trio's run, whose wall-clock time can be stepped."""

    def __init__(self) -> None:
        self.step = timedelta()

    def now(self) -> datetime:
        """Return the wall-clock time."""
        return datetime(2026, 1, 1, tzinfo=UTC) + self.monotonic() + self.step

    def monotonic(self) -> timedelta:
        """Return the time of trio's clock."""
        return timedelta(seconds=trio.current_time())

    async def sleep(self, duration: timedelta) -> None:
        """Wait for a duration."""
        await trio.sleep(duration.total_seconds())


class PlainTargets:
    """Plain targets that count runs; each call uses the next one of `modes`.

    Modes: `answer`, `unavailable` (503 without a run), `refuse` (no connection), `run_and_cut`,
    `cut`, and `hang` (runs and never responds).
    """

    def __init__(self, names: tuple[str, ...], clock: VirtualClock) -> None:
        self.targets = [Target(name, TargetKind.PLAIN, "s", name, "r", "z") for name in names]
        self.modes: list[str] = []
        self.runs: Counter[str] = Counter()
        self.runs_of_request: Counter[str] = Counter()
        self._clock = clock

    async def call(
        self, target: Target, call: ServiceCall
    ) -> ServiceResponse | CallNotSent | CallInterrupted:
        """Run a call according to the next mode if its deadline has not passed."""
        await trio.lowlevel.checkpoint()
        mode = self.modes.pop(0) if self.modes else "answer"
        if mode == "refuse" or self._clock.monotonic() >= call.deadline:
            return CallNotSent("no connection")
        if mode == "unavailable":
            return ServiceResponse(503, "text/plain", b"")
        if mode != "cut":
            self.runs[call.idempotency_key or ""] += 1
            self.runs_of_request[call.request_id] += 1
        if mode == "hang":
            await trio.sleep_forever()
        if mode in ("cut", "run_and_cut"):
            return CallInterrupted("cut")
        return ServiceResponse(
            201, "text/plain", f"answer to {call.body!r}".encode() + b"." * 20_000
        )

    @asynccontextmanager
    async def place_call(
        self, call: ServiceCall, excluded: frozenset[str]
    ) -> AsyncIterator[Target | Refused]:
        """Place a call on the first target that is not excluded."""
        usable = [item for item in self.targets if item.target_id not in excluded]
        yield usable[0] if usable else Refused(Reason.NO_TARGET, "none is left")

    def target_lost(self, failure: TargetFailure) -> None:
        """Ignore the report."""

    def target_answered(self, target_id: str) -> None:
        """Ignore the report."""


class GatedTable(FakeTable):
    """View of a table service from an entry instance that can be paused."""

    def __init__(self, shared: FakeTable) -> None:
        self.shared = shared
        self.paused: trio.Event | None = None

    async def transact(self, conditions, writes):  # type: ignore[no-untyped-def]
        """Forward a transaction; a paused instance sees the outcome when it resumes."""
        outcome = await self.shared.transact(conditions, writes)
        await self._wait_resumed()
        return outcome

    async def read(self, keys):  # type: ignore[no-untyped-def]
        """Forward a read; a paused instance sees the outcome when it resumes."""
        outcome = await self.shared.read(keys)
        await self._wait_resumed()
        return outcome

    async def _wait_resumed(self) -> None:
        if self.paused is not None:
            with trio.CancelScope(shield=True):
                await self.paused.wait()


def booking_call(
    now: timedelta,
    key: str | None,
    body: str,
    idempotent: bool = False,
    request_id: str = "r",
) -> ServiceCall:
    """Return a booking call that starts at a monotonic time."""
    return ServiceCall(
        request_id=request_id,
        organisation="lowell-crews",
        service="crew-desk",
        method="POST",
        path="/bookings",
        content_type="text/plain",
        body=body.encode(),
        fingerprint=body,
        received=now,
        deadline=now + CALL_TIMEOUT,
        idempotent=idempotent,
        idempotency_key=key,
    )


@dataclass(slots=True)
class EntryInProcess:
    """One entry instance; cancelling its nursery simulates a crash."""

    table: GatedTable
    dispatcher: Dispatcher
    nursery: trio.Nursery


@dataclass(slots=True)
class CallResult:
    """Outcome that a caller received; None while it waits or when its entry instance crashed."""

    call: ServiceCall
    outcome: CallOutcome | None = None
    finished: trio.Event = field(default_factory=trio.Event)


@dataclass(slots=True)
class CallWorld:
    """Entry instances, stores and targets for service calls."""

    clock: VirtualClock = field(default_factory=VirtualClock)
    shared: FakeTable = field(default_factory=FakeTable)
    objects: FakeObjects = field(default_factory=FakeObjects)
    targets: PlainTargets = field(init=False)
    entries: list[EntryInProcess] = field(default_factory=list)
    results: list[CallResult] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.targets = PlainTargets(("a", "b", "c"), self.clock)

    def call(self, key: str | None, body: str, idempotent: bool = False) -> ServiceCall:
        """Return a call that starts now."""
        return booking_call(self.clock.monotonic(), key, body, idempotent, f"r{len(self.results)}")

    def start_call(self, index: int, call: ServiceCall) -> CallResult:
        """Send a call through an entry instance in a task of its own."""
        result = CallResult(call)
        self.results.append(result)
        entry = self.entries[index]

        async def run() -> None:
            result.outcome = await entry.dispatcher.call(call)
            result.finished.set()

        entry.nursery.start_soon(run)
        return result

    async def run_entry(self, index: int, task_status: trio.TaskStatus[None]) -> None:
        """Run an entry instance until its nursery is cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(trio.sleep_forever)
            table = GatedTable(self.shared)
            runs = RunCoordinator(table, self.objects, self.clock, f"entry-{index}", nursery)
            dispatcher = Dispatcher(
                self.targets,  # type: ignore[arg-type]
                None,  # type: ignore[arg-type]
                self.targets,
                runs,
                self.targets,
                None,  # type: ignore[arg-type]
                self.clock,
            )
            self.entries[index : index + 1] = [EntryInProcess(table, dispatcher, nursery)]
            task_status.started()
