"""Turns of suspects on targets, one at a time over all entry instances."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from datetime import datetime

import msgspec
import trio

from wasabiwell_entry.coordination.quarantine.const import (
    STORE_WAIT,
    TURN_LIFETIME,
    TURN_POLL_INTERVAL,
    TURN_PREFIX,
)
from wasabiwell_entry.coordination.quarantine.errors import TurnLost
from wasabiwell_entry.state import log_events
from wasabiwell_entry.state.clock import Clock
from wasabiwell_entry.state.platform import (
    Committed,
    Condition,
    ReplyLost,
    Row,
    StoreUnavailable,
    TableService,
    Write,
)


class _Turn(msgspec.Struct, frozen=True):
    """The suspect that may run on a target, until a wall-clock time."""

    fingerprint: str
    expires: datetime


class SuspectLeases:
    """Lets one suspect at a time run on a target, by a row of the table service for each target.

    Two suspects on one target could not be told apart when it dies: both would be marked again, and
    an innocent one be refused. A turn that its instance did not end expires.
    """

    __slots__ = ("_clock", "_table")

    def __init__(self, table: TableService, clock: Clock) -> None:
        self._table = table
        self._clock = clock

    @asynccontextmanager
    async def turn(self, fingerprint: str, target_id: str) -> AsyncIterator[None]:
        """Wait for the turn of a suspect on a target, and end it with the context.

        Without the table service the suspect does not wait.
        """
        key = TURN_PREFIX + target_id
        taken = await self._take(key, fingerprint)
        if isinstance(taken, StoreUnavailable):
            log_events.emit(
                log_events.SUSPECT_TURN_SKIPPED,
                fingerprint=fingerprint,
                target=target_id,
                reason=taken.reason,
            )
            yield
            return
        try:
            yield
        finally:
            with trio.move_on_after(STORE_WAIT.total_seconds(), shield=True) as scope:
                await self._end(key, taken)
            if scope.cancelled_caught:
                _log_not_ended(key, taken, "no answer in time")

    async def _take(self, key: str, fingerprint: str) -> _Turn | StoreUnavailable:
        while True:
            rows = await self._table.read([key])
            if isinstance(rows, StoreUnavailable):
                return rows
            row = rows.get(key)
            if row is None or _decode(row).expires <= self._clock.now():
                taken = await self._write(key, row, fingerprint)
                if not isinstance(taken, TurnLost):
                    return taken
            else:
                await self._clock.sleep(TURN_POLL_INTERVAL)

    async def _write(
        self, key: str, row: Row | None, fingerprint: str
    ) -> _Turn | TurnLost | StoreUnavailable:
        turn = _Turn(fingerprint, self._clock.now() + TURN_LIFETIME)
        outcome = await self._table.transact(
            [Condition(key, row.version if row is not None else 0)],
            [Write(key, msgspec.msgpack.encode(turn))],
        )
        match outcome:
            case Committed():
                return turn
            case StoreUnavailable():
                return outcome
            case ReplyLost():
                rows = await self._table.read([key])
                if isinstance(rows, StoreUnavailable):
                    return rows
                written = rows.get(key)
                if written is not None and _decode(written) == turn:
                    return turn
        return TurnLost()

    async def _end(self, key: str, turn: _Turn) -> None:
        """Delete the row, unless the turn has expired and is another suspect's now."""
        rows = await self._table.read([key])
        if isinstance(rows, StoreUnavailable):
            _log_not_ended(key, turn, rows.reason)
            return
        row = rows.get(key)
        if row is None or _decode(row) != turn:
            return
        outcome = await self._table.transact([Condition(key, row.version)], [Write(key, None)])
        if isinstance(outcome, StoreUnavailable | ReplyLost):
            _log_not_ended(key, turn, outcome.reason)


def _log_not_ended(key: str, turn: _Turn, reason: str) -> None:
    log_events.emit(
        log_events.SUSPECT_TURN_NOT_ENDED,
        fingerprint=turn.fingerprint,
        target=key.removeprefix(TURN_PREFIX),
        reason=reason,
    )


def _decode(row: Row) -> _Turn:
    return msgspec.msgpack.decode(row.value, type=_Turn)
