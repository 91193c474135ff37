"""Planned work on a deployment: stops and reloads of its instances, and configurations.

A planned stop, a reload or a configuration excuses no request without an answer.
"""

import random
import signal

import trio

from wasabiwell_standins.users_platform.deployment import (
    KEY,
    OTHER_KEY,
    TENANT,
    Deployment,
    EntryProcess,
)
from wasabiwell_standins.users_platform.reasons import GRACE_SECONDS, Stop
from wasabiwell_standins.users_platform.soak_checks import check_alive
from wasabiwell_standins.users_platform.soak_history import FaultHistory, SoakReport
from wasabiwell_standins.users_platform.soak_load import SoakLoad

STOP_INTERVAL = (0.5, 5.0)
"""Seconds between two stops of a series; a stop takes up to 8 s, so that stops overlap."""
RELOADS_IN_STOP = ((0.0, 0.3), (2.8, 3.28), (3.32, 3.8), (4.0, 7.5))
"""Seconds after SIGTERM at which a reload may come: on both sides of the close of the listeners."""
PULSE_SECONDS = (0.02, 0.28)
PULSES_UNTIL = 7.2
"""Seconds after SIGTERM. A pause that ends later may outlast the grace period by itself."""
CONFIGURATION_INTERVAL = (0.5, 3.0)
RESTART_SECONDS = (0.0, 1.0)
EARLY_STOP_SHARE = 0.15
"""Share of the restarted instances that are stopped again while they start."""


class PlannedWork:
    """Planned work, drawn from a seed."""

    def __init__(
        self,
        deployment: Deployment,
        report: SoakReport,
        history: FaultHistory,
        load: SoakLoad,
        pressure: bool,
    ) -> None:
        """With `pressure`, stopping instances are paused for short times."""
        self._deployment = deployment
        self._report = report
        self._history = history
        self._load = load
        self._pressure = pressure
        self._random = random.Random(f"planned work {report.seed}")

    async def run_series(self, seconds: float) -> None:
        """Stop all instances in turn, again and again, among reloads and configurations.

        The last stop begins so early that it ends within `seconds`.
        """
        end = trio.current_time() + seconds
        entries: list[EntryProcess] = []
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._publish_series, end)
            while trio.current_time() < end - GRACE_SECONDS:
                if not entries:
                    entries = self._random.sample(
                        self._deployment.entries, len(self._deployment.entries)
                    )
                if await self._may_stop():
                    nursery.start_soon(self.stop_entry, entries.pop(), RESTART_SECONDS[1])
                await trio.sleep(self._random.uniform(*STOP_INTERVAL))

    async def _may_stop(self) -> bool:
        """Return whether half of the instances would still be ready after a stop."""
        entries = self._deployment.entries
        ready = [
            entry
            for entry in entries
            if entry.name not in self._history.components and await self._deployment.is_ready(entry)
        ]
        return len(ready) > len(entries) // 2

    async def _publish_series(self, end: float) -> None:
        while trio.current_time() < end - CONFIGURATION_INTERVAL[1]:
            await trio.sleep(self._random.uniform(*CONFIGURATION_INTERVAL))
            await self.change_configuration(self._random.uniform(0.1, 2.0))

    async def stop_entry(self, entry: EntryProcess, seconds: float) -> None:
        """Stop an instance as the platform does, and start it again after at most `seconds`."""
        async with self._history.exclusive(entry.name, planned=True) as acquired:
            if not acquired:
                return
            stop = await self._stop_once(entry)
            await trio.sleep(self._random.uniform(RESTART_SECONDS[0], seconds))
            entry.start()
            if self._random.random() < EARLY_STOP_SHARE:
                await trio.sleep(self._random.uniform(0.0, 2.0))
                await self._stop_once(entry)
                entry.start()
            await self._wait_ready(entry, stop)

    async def _stop_once(self, entry: EntryProcess) -> Stop:
        self._report.record(f"{entry.name} gets SIGTERM")
        check_alive(entry, self._report)
        stop = Stop(entry.name, trio.current_time())
        self._history.circumstances.stops.append(stop)
        entry.signal(signal.SIGTERM)
        self._load.add_late_requests(entry)
        async with trio.open_nursery() as nursery:
            if self._pressure:
                nursery.start_soon(self._pause_shortly, entry)
            if self._random.random() < 0.5:
                nursery.start_soon(self._reload_in_stop, entry)
            exited = await entry.wait_exited(GRACE_SECONDS)
            nursery.cancel_scope.cancel()
        stop.exited_at = trio.current_time()
        if not exited:
            self._report.add_finding(f"{entry.name} did not stop within {GRACE_SECONDS:.0f} s")
            entry.signal(signal.SIGKILL)
            await entry.wait_exited(5)
        elif entry.process is not None and entry.process.returncode not in (0, -signal.SIGTERM):
            self._report.add_finding(f"{entry.name} stopped with code {entry.process.returncode}")
        self._report.record(f"{entry.name} has exited")
        return stop

    async def _wait_ready(self, entry: EntryProcess, stop: Stop) -> None:
        """Wait until a started instance is ready, and end its stops in the circumstances."""
        try:
            await self._deployment.wait_ready(entry)
        except TimeoutError:
            self._report.add_finding(f"{entry.name} is not ready after its start")
        self._report.record(f"{entry.name} is ready again")
        for item in self._history.circumstances.stops:
            if item.entry == entry.name and item.signalled_at >= stop.signalled_at:
                item.ended_at = trio.current_time()

    async def _reload_in_stop(self, entry: EntryProcess) -> None:
        await trio.sleep(self._random.uniform(*self._random.choice(RELOADS_IN_STOP)))
        await self.reload_entry(entry)

    async def _pause_shortly(self, entry: EntryProcess) -> None:
        """Pause a stopping instance for short times, as a busy machine does."""
        signalled_at = trio.current_time()
        while (left := signalled_at + PULSES_UNTIL - trio.current_time()) > 0:
            await trio.sleep(min(left, self._random.uniform(0.1, 0.8)))
            seconds = self._random.uniform(*PULSE_SECONDS)
            entry.signal(signal.SIGSTOP)
            try:
                await trio.sleep(seconds)
            finally:
                entry.signal(signal.SIGCONT)
            self._report.record(f"{entry.name} was paused for {seconds:.2f} s in its stop")

    async def reload_entry(self, entry: EntryProcess) -> None:
        """Rewrite the settings file, at random with errors or empty, and send SIGHUP."""
        path = entry.folder / f"{entry.name}.conf"
        good = path.read_text()
        async with self._history.exclusive(f"{entry.name} settings", planned=True) as acquired:
            if not acquired or not entry.alive:
                return
            self._report.record(f"{entry.name} gets SIGHUP with changed settings")
            path.write_text(self._random.choice((good, good + "seeds=nowhere\n", "")))
            try:
                entry.signal(signal.SIGHUP)
                await trio.sleep(0.2)
            finally:
                path.write_text(good)

    async def change_configuration(self, seconds: float) -> None:
        """Publish configurations, some without a key, and restore the key after `seconds`."""
        async with self._history.exclusive("configuration", planned=True) as acquired:
            if not acquired:
                return
            configuration = self._deployment.configuration
            keys = [KEY, OTHER_KEY] if self._random.random() < 0.7 else [KEY]
            configuration["tenants"] = [{"name": TENANT, "api_keys": keys}]
            withdrawn_at = trio.current_time()
            for _ in range(self._random.choice((1, 1, 5))):
                configuration["routes"][0]["priority"] = self._random.randrange(9)
                version = self._deployment.publish_configuration()
                self._report.record(f"configuration version {version} with {len(keys)} API keys")
                await trio.sleep(self._random.uniform(0.0, 0.2))
            await trio.sleep(seconds)
            configuration["tenants"] = [{"name": TENANT, "api_keys": [KEY, OTHER_KEY]}]
            self._deployment.publish_configuration()
            if OTHER_KEY not in keys:
                withdrawals = self._history.circumstances.withdrawals.setdefault(OTHER_KEY, [])
                withdrawals.append((withdrawn_at, trio.current_time()))
