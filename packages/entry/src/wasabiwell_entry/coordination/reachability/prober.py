"""Probes targets to find out whether this instance reaches any."""

from datetime import timedelta
from random import Random

import trio

from wasabiwell_entry.coordination.reachability.const import (
    PROBE_INTERVAL,
    WITNESS_INTERVAL,
    WITNESS_ROUNDS,
    WITNESSES,
)
from wasabiwell_entry.coordination.reachability.coordinator import TargetReachability
from wasabiwell_entry.coordination.reachability.ports import ConnectionPort
from wasabiwell_entry.state.clock import Clock
from wasabiwell_entry.state.targets import Target


class ReachabilityProber:
    """Probes other targets after a failed connection, and one after the other during a cut.

    The port records the result of each probe, as it does for each connection.
    """

    __slots__ = ("_clock", "_port", "_random", "_reachability")

    def __init__(
        self,
        reachability: TargetReachability,
        port: ConnectionPort,
        clock: Clock,
        random: Random | None = None,
    ) -> None:
        self._reachability = reachability
        self._port = port
        self._clock = clock
        self._random = random or Random()

    async def run(self) -> None:
        """Probe targets until cancelled."""
        while True:
            await self._reachability.wait_failure()
            if self._reachability.cut_off:
                await self._probe_any()
                await self._clock.sleep(PROBE_INTERVAL)
            else:
                await self._probe_witnesses()
                await self._sleep_unless_cut_off(WITNESS_INTERVAL)

    async def reaches_another(self, target: Target) -> bool:
        """Return whether a target other than the given one accepts a connection now.

        True if no other one is listed, as nothing can be compared then.
        """
        if self._reachability.cut_off:
            return False
        others = [item for item in self._reachability.listed() if item != target]
        if not others:
            return True
        # Two others may be down as well, as a request that crashes targets is tried on several.
        self._random.shuffle(others)
        for start in range(0, WITNESS_ROUNDS * WITNESSES, WITNESSES):
            if await self._probe_all(others[start : start + WITNESSES]):
                return True
        return False

    async def _probe_witnesses(self) -> None:
        failed = self._reachability.failed
        others = [item for item in self._reachability.listed() if item.target_id not in failed]
        await self._probe_all(self._random.sample(others, min(WITNESSES, len(others))))

    async def _probe_all(self, targets: list[Target]) -> bool:
        """Probe targets at the same time until one is alive; return whether one is."""
        alive = False

        async def probe(target: Target, scope: trio.CancelScope) -> None:
            nonlocal alive
            if await self._port.accepts(target):
                alive = True
                scope.cancel()

        async with trio.open_nursery() as nursery:
            for target in targets:
                nursery.start_soon(probe, target, nursery.cancel_scope)
        return alive

    async def _probe_any(self) -> None:
        listed = self._reachability.listed()
        if listed:
            await self._port.accepts(self._random.choice(listed))

    async def _sleep_unless_cut_off(self, duration: timedelta) -> None:
        end = self._clock.monotonic() + duration
        while not self._reachability.cut_off and self._clock.monotonic() < end:
            await self._clock.sleep(duration / 10)
