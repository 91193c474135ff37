"""Stateful fuzzing of run records; the targets' own counts of runs are the oracle."""

import threading
from collections.abc import Awaitable, Callable
from datetime import timedelta

import msgspec
import trio
import trio.testing
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule
from wasabiwell_entry.state.outcomes import Failed, Refused, RunState, ServiceResponse
from wasabiwell_entry.state.runs import RunRecord, RunStatus

from support.calls import CallWorld

ENTRIES = 2
KEYS = st.sampled_from(["k1", "k2"])
BODIES = st.sampled_from(["a", "a", "a", "b"])
INDEXES = st.integers(0, ENTRIES - 1)
MODES = st.sampled_from(["answer", "refuse", "unavailable", "run_and_cut", "cut", "hang"])
CLOCK_STEPS = st.sampled_from([-3600, -30, 30, 3600])
JUMPS = st.sampled_from([0.01, 0.6, 2, 6, 21, 60])
RECOVERY_SECONDS = 120

SETTINGS = settings(
    max_examples=150,
    stateful_step_count=40,
    derandomize=True,
    database=None,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)


class TrioThread:
    """Runs trio with virtual time in a thread; each action runs until all tasks are blocked."""

    def __init__(self) -> None:
        self.clock = trio.testing.MockClock()
        self._started = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()
        self._started.wait()

    def act(self, action: Callable[[], Awaitable[None]]) -> None:
        """Run an action and wait until all tasks are blocked."""

        async def run() -> None:
            await action()
            await trio.testing.wait_all_tasks_blocked()

        trio.from_thread.run(run, trio_token=self._token)

    def stop(self) -> None:
        """Cancel everything and wait for the thread."""
        trio.from_thread.run_sync(self._scope.cancel, trio_token=self._token)
        self._thread.join()

    def _run(self) -> None:
        trio.run(self._main, clock=self.clock)

    async def _main(self) -> None:
        self._token = trio.lowlevel.current_trio_token()
        async with trio.open_nursery() as self.nursery:
            self._scope = self.nursery.cancel_scope
            self._started.set()
            await trio.sleep_forever()


class RunMachine(RuleBasedStateMachine):
    """Random sequences of calls, platform outages, and instance and target failures."""

    @initialize()
    def start(self) -> None:
        """Start the entry instances."""
        self.thread = TrioThread()
        self.world = CallWorld()
        self.killed = False
        for index in range(ENTRIES):
            self.thread.act(lambda index=index: self._start_entry(index))

    async def _start_entry(self, index: int) -> None:
        await self.thread.nursery.start(self.world.run_entry, index)

    def _set(self, **values: object) -> None:
        for name, value in values.items():
            setattr(self.world.shared, name, value)

    @rule(index=INDEXES, key=KEYS, body=BODIES, mode=MODES)
    def call(self, index: int, key: str, body: str, mode: str) -> None:
        """Send a call, or retry an earlier one, through an entry instance."""

        async def send() -> None:
            self.world.targets.modes = [mode]
            self.world.start_call(index, self.world.call(key, body))

        self.thread.act(send)

    @rule(key=KEYS, mode=MODES)
    def race(self, key: str, mode: str) -> None:
        """Send one call through all entry instances concurrently."""

        async def send() -> None:
            self.world.targets.modes = [mode]
            for index in range(ENTRIES):
                self.world.start_call(index, self.world.call(key, "a"))

        self.thread.act(send)

    @rule(seconds=JUMPS)
    def time_passes(self, seconds: float) -> None:
        """Let time pass."""

        async def jump() -> None:
            self.thread.clock.jump(seconds)

        self.thread.act(jump)

    @rule(count=st.integers(1, 4))
    def lose_replies(self, count: int) -> None:
        """Lose the replies of the next transactions."""
        self._set(lose_replies=count)

    @rule(count=st.integers(1, 4))
    def drop_writes(self, count: int) -> None:
        """Drop the next transactions."""
        self._set(drop_writes=count)

    @rule(count=st.integers(1, 4))
    def delay_writes(self, count: int) -> None:
        """Delay the next transactions."""
        self._set(delay_writes=count)

    @precondition(lambda self: self.world.shared.delayed)
    @rule()
    def apply_delayed_write(self) -> None:
        """Let a delayed transaction take effect."""
        self.world.shared.apply_delayed_write()

    @rule(down=st.booleans())
    def table_outage(self, down: bool) -> None:
        """Begin or end an outage of the table service."""
        self._set(unavailable=down)

    @rule(down=st.booleans())
    def object_outage(self, down: bool) -> None:
        """Begin or end an outage of the object store."""
        self.world.objects.unavailable = down

    @rule(index=INDEXES)
    def pause_or_resume(self, index: int) -> None:
        """Pause an entry instance, or resume it."""

        async def toggle() -> None:
            table = self.world.entries[index].table
            if table.paused is None:
                table.paused = trio.Event()
            else:
                table.paused.set()
                table.paused = None

        self.thread.act(toggle)

    @rule(index=INDEXES)
    def kill(self, index: int) -> None:
        """Kill an entry instance and start a replacement."""
        self.killed = True

        async def kill() -> None:
            entry = self.world.entries[index]
            if entry.table.paused is not None:
                entry.table.paused.set()
            entry.nursery.cancel_scope.cancel()
            await self._start_entry(index)

        self.thread.act(kill)

    @rule(seconds=CLOCK_STEPS)
    def step_clock(self, seconds: int) -> None:
        """Step the wall clock of all entry instances."""
        self.world.clock.step += timedelta(seconds=seconds)

    @invariant()
    def each_key_ran_at_most_once(self) -> None:
        """Check that no non-idempotent call ran twice."""
        runs = self.world.targets.runs
        assert all(count <= 1 for count in runs.values()), runs

    @invariant()
    def outcomes_match_the_runs(self) -> None:
        """Check each outcome against the targets' counts."""
        targets = self.world.targets
        for result in self.world.results:
            key = result.call.idempotency_key or ""
            match result.outcome:
                case Refused():
                    assert not targets.runs_of_request[result.call.request_id], result
                case Failed(run=RunState.RAN):
                    assert targets.runs[key] == 1, result
                case ServiceResponse(status=201, body=body):
                    assert targets.runs[key] == 1, result
                    assert body.startswith(f"answer to {result.call.body!r}".encode()), result

    def teardown(self) -> None:
        """Check after recovery that each call has an outcome and no record is left as started.

        Killed instances may leave calls without an outcome and records as started.
        """
        self._set(unavailable=False, lose_replies=0, drop_writes=0, delay_writes=0)
        for index in range(ENTRIES):
            if self.world.entries[index].table.paused is not None:
                self.pause_or_resume(index)
        for _ in range(RECOVERY_SECONDS):
            self.time_passes(1)
        while self.world.shared.delayed:
            self.apply_delayed_write()
        self.each_key_ran_at_most_once()
        self.outcomes_match_the_runs()
        records = [
            msgspec.msgpack.decode(row.value, type=RunRecord)
            for row in self.world.shared.rows.values()
        ]
        if not self.killed:
            assert all(result.outcome is not None for result in self.world.results)
            assert all(record.status is not RunStatus.STARTED for record in records), records
        self.thread.stop()
