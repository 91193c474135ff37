"""Memory reserved at engines for the holds of this entry instance."""

from dataclasses import dataclass
from datetime import timedelta

import trio

from wasabiwell_entry.coordination.reservations.const import (
    RESERVATION_CONCURRENCY,
    RESERVATION_RENEWAL,
    STOP_TIMEOUT,
)
from wasabiwell_entry.coordination.reservations.errors import ReservationRefused, Reserved
from wasabiwell_entry.coordination.reservations.ports import ReservationPort
from wasabiwell_entry.state.clock import Clock
from wasabiwell_entry.state.targets import Target


@dataclass(slots=True)
class _Reservation:
    """A reservation that is held, and when it is renewed next."""

    target: Target
    renew_at: timedelta


class EngineReservations:
    """Reserves, renews and returns memory of engines.

    Returns and renewals are calls to engines, which may be silent, so they have a task of their
    own. What is neither renewed nor returned expires at the engine.
    """

    __slots__ = ("_clock", "_held", "_port", "_renewal", "_returns", "_wake")

    def __init__(
        self, port: ReservationPort, clock: Clock, renewal: timedelta = RESERVATION_RENEWAL
    ) -> None:
        self._port = port
        self._clock = clock
        self._renewal = renewal
        self._held: dict[str, _Reservation] = {}
        self._returns: list[tuple[Target, str]] = []
        self._wake = trio.Event()

    async def reserve(
        self, target: Target, owner: str, tokens: int
    ) -> Reserved | ReservationRefused:
        """Reserve memory; cancellation waits for the answer, so that its id is not lost."""
        with trio.CancelScope(shield=True):
            outcome = await self._port.reserve(target, owner, tokens)
        match outcome:
            case Reserved(reservation_id=reservation_id):
                renew_at = self._clock.monotonic() + self._renewal
                self._held[reservation_id] = _Reservation(target, renew_at)
            case ReservationRefused(uncertain=True):
                self._returns.append((target, owner))
                self._wake.set()
        return outcome

    def release(self, reservation_id: str) -> None:
        """Return memory in the background; an unknown id is ignored."""
        held = self._held.pop(reservation_id, None)
        if held is not None:
            self._returns.append((held.target, reservation_id))
            self._wake.set()

    async def run(self) -> None:
        """Return and renew reservations until cancelled, then return all."""
        try:
            while True:
                await self.settle()
                with trio.move_on_after(self._renewal.total_seconds() / 2):
                    await self._wake.wait()
                self._wake = trio.Event()
        finally:
            with trio.move_on_after(STOP_TIMEOUT.total_seconds(), shield=True):
                for reservation_id in list(self._held):
                    self.release(reservation_id)
                await self.settle()

    async def settle(self) -> None:
        """Make the returns and renewals that are due."""
        returns, self._returns = self._returns, []
        now = self._clock.monotonic()
        limiter = trio.CapacityLimiter(RESERVATION_CONCURRENCY)
        async with trio.open_nursery() as nursery:
            for target, reservation_id in returns:
                nursery.start_soon(self._return, target, reservation_id, limiter)
            for reservation_id, held in self._held.items():
                if held.renew_at <= now:
                    held.renew_at = now + self._renewal
                    nursery.start_soon(self._renew, held.target, reservation_id, limiter)

    async def _return(
        self, target: Target, reservation_id: str, limiter: trio.CapacityLimiter
    ) -> None:
        async with limiter:
            await self._port.release(target, reservation_id)

    async def _renew(
        self, target: Target, reservation_id: str, limiter: trio.CapacityLimiter
    ) -> None:
        async with limiter:
            await self._port.renew(target, reservation_id)
