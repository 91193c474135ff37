"""Waits for room in the account, and bounds the number of connections."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass

import trio

from wasabiwell_entry.coordination.intake.account import BufferedKind, Holding, IntakeAccount
from wasabiwell_entry.coordination.intake.const import (
    CONNECTION_SHARE,
    CONTROL_CONNECTION_SHARE,
    FILE_DESCRIPTORS,
    MAX_WAIT,
    MEMORY_SHARE,
    MIN_CONNECTIONS,
    WAIT_INTERVAL,
)
from wasabiwell_entry.coordination.intake.errors import IntakeReason
from wasabiwell_entry.coordination.intake.unread import UnreadResponses
from wasabiwell_entry.state import log_events
from wasabiwell_entry.state.clock import Clock

MEGABYTE = 1_000_000


@dataclass(frozen=True, slots=True)
class IntakeLimits:
    """Bounds of buffered bytes and of connections; None is without a bound."""

    buffered_bytes: int | None = None
    connections: int | None = None
    control_connections: int | None = None


def limits_of_machine(memory_mb: float, file_descriptors: float) -> IntakeLimits:
    """Return the bounds for a machine; 0 stands for a limit that is not known."""
    connections = control_connections = None
    if file_descriptors:
        shared = file_descriptors - FILE_DESCRIPTORS
        connections = max(MIN_CONNECTIONS, int(shared * CONNECTION_SHARE))
        control_connections = max(MIN_CONNECTIONS, int(shared * CONTROL_CONNECTION_SHARE))
    buffered = int(memory_mb * MEGABYTE * MEMORY_SHARE) if memory_mb else None
    return IntakeLimits(buffered, connections, control_connections)


class Intake:
    """The account of an instance, its bounds of connections, and the wait for room."""

    __slots__ = ("_clock", "_released", "account", "limits", "unread")

    def __init__(self, limits: IntakeLimits, clock: Clock) -> None:
        self.limits = limits
        self.account = IntakeAccount(limits.buffered_bytes, clock)
        self.unread = UnreadResponses(clock)
        self._clock = clock
        self._released = trio.Event()

    @contextmanager
    def hold(
        self,
        kind: BufferedKind,
        address: str = "",
        control: bool = False,
        refuse: Callable[[], None] = lambda: None,
    ) -> Iterator[Holding]:
        """Open a holding; its memory is released, and waiting connections go on, at the end."""
        with self.account.hold(kind, address, control, refuse) as holding:
            try:
                yield holding
            finally:
                self.shrink(holding, holding.size)

    def shrink(self, holding: Holding, count: int) -> None:
        """Release bytes of a holding, and let waiting connections try again."""
        self.account.shrink(holding, count)
        self._wake()

    def restart(self, holding: Holding, size: int) -> None:
        """Begin to count the next request of a connection."""
        self.account.restart(holding, size)
        self._wake()

    async def grow(self, holding: Holding, count: int) -> bool:
        """Reserve further bytes, and wait for room for a bounded time.

        Returns False if the holding has been given up, whose `refused` is the reason. What follows
        a complete request waits for as long as that is in service, as its response would be lost
        with the connection.
        """
        if holding.size == 0:
            holding.began = holding.progressed = self._clock.monotonic()
        while not await self._wait_room(holding, count):
            if holding.refused is not None or not holding.complete:
                self.account.give_up(holding, IntakeReason.NO_MEMORY)
                return False
        return True

    async def buffer(self, holding: Holding, size: int) -> bool:
        """Hold so many bytes of a response from now on; return False without room after a wait."""
        if size > holding.size:
            return await self._wait_room(holding, size - holding.size)
        self.shrink(holding, holding.size - size)
        return True

    async def _wait_room(self, holding: Holding, count: int) -> bool:
        """Reserve further bytes within a bounded time; return whether they were granted."""
        if holding.refused is None and self.account.try_grow(holding, count):
            return True
        began = self._clock.monotonic()
        while holding.refused is None and self._clock.monotonic() - began < MAX_WAIT:
            released = self._released
            before = self._clock.monotonic()
            with trio.move_on_after(WAIT_INTERVAL.total_seconds()):
                await released.wait()
            holding.progressed = self._clock.monotonic()
            holding.waited += holding.progressed - before
            if holding.refused is None and self.account.try_grow(holding, count):
                return True
            # Reservations of reads end within a pass of the event loop, so a shortage that has just
            # begun may end without a loss.
            if self._clock.monotonic() - began >= WAIT_INTERVAL:
                self.account.make_room(holding, count)
        return False

    def close_connection(self, address: str) -> None:
        """Count a connection that is closed as there are too many."""
        self.account.refusals[IntakeReason.TOO_MANY_CONNECTIONS] += 1
        log_events.emit(log_events.CONNECTION_DISPLACED, caller=address)

    def refusals(self) -> dict[str, float]:
        """Return the rejections and closed connections by reason."""
        counts = {reason.value: float(self.account.refusals[reason]) for reason in IntakeReason}
        counts[IntakeReason.UNREAD_RESPONSE.value] += self.unread.given_up
        return counts

    def _wake(self) -> None:
        """Wake the waiting connections; nobody waits without a shortage."""
        if self._released.statistics().tasks_waiting:
            self._released.set()
            self._released = trio.Event()
