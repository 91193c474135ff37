"""Probes targets to find out whether this instance reaches any."""

from datetime import timedelta
from random import Random

import trio

from wasabiwell_entry.coordination.reachability.const import (
    PROBE_INTERVAL,
    WITNESS_INTERVAL,
    WITNESSES,
)
from wasabiwell_entry.coordination.reachability.coordinator import TargetReachability
from wasabiwell_entry.coordination.reachability.ports import ProbePort
from wasabiwell_entry.state.clock import Clock
from wasabiwell_entry.state.probes import TargetAlive
from wasabiwell_entry.state.targets import Target


class ReachabilityProber:
    """Probes other targets after a failed connection, and one after the other during a cut.

    The port records the result of each probe, as it does for each connection.
    """

    __slots__ = ("_clock", "_port", "_random", "_reachability")

    def __init__(
        self,
        reachability: TargetReachability,
        port: ProbePort,
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
                await self._probe_witnesses(self._reachability.failed)
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
        return await self._probe_witnesses(frozenset({target.target_id}))

    async def _probe_witnesses(self, excluded: frozenset[str]) -> bool:
        """Probe a few targets at the same time; return whether one of them is alive."""
        candidates = [
            item for item in self._reachability.listed() if item.target_id not in excluded
        ]
        chosen = self._random.sample(candidates, min(WITNESSES, len(candidates)))
        alive = False

        async def probe(target: Target, scope: trio.CancelScope) -> None:
            nonlocal alive
            if isinstance(await self._port.probe(target), TargetAlive):
                alive = True
                scope.cancel()

        async with trio.open_nursery() as nursery:
            for target in chosen:
                nursery.start_soon(probe, target, nursery.cancel_scope)
        return alive

    async def _probe_any(self) -> None:
        listed = self._reachability.listed()
        if listed:
            await self._port.probe(self._random.choice(listed))

    async def _sleep_unless_cut_off(self, duration: timedelta) -> None:
        end = self._clock.monotonic() + duration
        while not self._reachability.cut_off and self._clock.monotonic() < end:
            await self._clock.sleep(duration / 10)
