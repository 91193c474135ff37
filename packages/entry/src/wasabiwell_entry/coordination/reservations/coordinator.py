"""Manages the engine memory reserved by this entry instance."""

from dataclasses import dataclass
from datetime import timedelta

import trio

from wasabiwell_entry.coordination.reservations.const import (
    MAX_CONCURRENT_CALLS,
    RENEWAL_INTERVAL,
    STOP_TIMEOUT,
)
from wasabiwell_entry.coordination.reservations.errors import ReservationRefused, Reserved
from wasabiwell_entry.coordination.reservations.ports import ReservationPort
from wasabiwell_entry.coordination.supervision import Supervisor
from wasabiwell_entry.state.clock import Clock
from wasabiwell_entry.state.targets import Target


@dataclass(slots=True)
class _Reservation:
    """An active reservation and the time of its next renewal."""

    target: Target
    renew_at: timedelta


class EngineReservations:
    """Reserves, renews and releases engine memory.

    Releases and renewals run in a separate task, because they are calls to engines that may not
    respond. Reservations that are neither renewed nor released expire at the engine.
    """

    __slots__ = (
        "_clock",
        "_held",
        "_pending_returns",
        "_port",
        "_renewal_interval",
        "_supervisor",
        "_wake",
    )

    def __init__(
        self,
        port: ReservationPort,
        supervisor: Supervisor,
        clock: Clock,
        renewal_interval: timedelta = RENEWAL_INTERVAL,
    ) -> None:
        self._port = port
        self._supervisor = supervisor
        self._clock = clock
        self._renewal_interval = renewal_interval
        self._held: dict[str, _Reservation] = {}
        self._pending_returns: list[tuple[Target, str]] = []
        self._wake = trio.Event()

    async def reserve(
        self, target: Target, owner: str, tokens: int
    ) -> Reserved | ReservationRefused:
        """Reserve memory; shielded from cancellation, so that the reservation id is not lost."""
        with trio.CancelScope(shield=True):
            outcome = await self._port.reserve(target, owner, tokens)
        match outcome:
            case Reserved(reservation_id=reservation_id):
                renew_at = self._clock.monotonic() + self._renewal_interval
                self._held[reservation_id] = _Reservation(target, renew_at)
            case ReservationRefused(uncertain=True):
                # The id of an unanswered reservation is unknown; it is released by owner.
                self._pending_returns.append((target, owner))
                self._wake.set()
        return outcome

    def release(self, reservation_id: str) -> None:
        """Release a reservation in the background; an unknown id is ignored."""
        held = self._held.pop(reservation_id, None)
        if held is not None:
            self._pending_returns.append((held.target, reservation_id))
            self._wake.set()

    async def run(self) -> None:
        """Release and renew reservations until cancelled, then release all.

        After an error the reservations are kept, and the task can be started again.
        """
        try:
            while True:
                await self.process_pending()
                with trio.move_on_after(self._renewal_interval.total_seconds() / 2):
                    await self._wake.wait()
                self._wake = trio.Event()
        except Exception:
            raise
        except BaseException:
            with trio.move_on_after(STOP_TIMEOUT.total_seconds(), shield=True):
                for reservation_id in list(self._held):
                    self.release(reservation_id)
                await self.process_pending()
            raise

    async def process_pending(self) -> None:
        """Perform pending releases and the renewals that are due."""
        returns, self._pending_returns = self._pending_returns, []
        now = self._clock.monotonic()
        limiter = trio.CapacityLimiter(MAX_CONCURRENT_CALLS)
        async with trio.open_nursery() as nursery:
            for target, reservation_id in returns:
                nursery.start_soon(self._release, target, reservation_id, limiter)
            for reservation_id, held in self._held.items():
                if held.renew_at <= now:
                    held.renew_at = now + self._renewal_interval
                    nursery.start_soon(self._renew, held.target, reservation_id, limiter)

    async def _release(
        self, target: Target, reservation_id: str, limiter: trio.CapacityLimiter
    ) -> None:
        async with limiter:
            await self._supervisor.run_once(
                "reservations.release", self._port.release, target, reservation_id
            )

    async def _renew(
        self, target: Target, reservation_id: str, limiter: trio.CapacityLimiter
    ) -> None:
        async with limiter:
            await self._supervisor.run_once(
                "reservations.renewal", self._port.renew, target, reservation_id
            )
