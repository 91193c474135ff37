"""Reserves the memory that a placement needs on helpers, all of it or none."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, replace

import trio

from wasabiwell_entry.coordination.placement.errors import Placement
from wasabiwell_entry.coordination.reservations import EngineReservations
from wasabiwell_entry.coordination.reservations.errors import Reserved
from wasabiwell_entry.state.forwarding import Helper


@dataclass(frozen=True, slots=True)
class NotReserved:
    """Engines had no memory to reserve, or did not answer; nothing is held."""

    target_ids: tuple[str, ...]


@asynccontextmanager
async def hold_memory(
    reservations: EngineReservations, placement: Placement, owner: str
) -> AsyncIterator[Placement | NotReserved]:
    """Hold the memory of a placement until the context ends; `owner` is unique to the attempt.

    A helper that does not reserve its part is replaced by the next one that keeps nothing yet, as
    all parts are equal.
    """
    parts = [helper.kv_tokens for helper in placement.helpers if helper.kv_tokens]
    if not parts:
        yield placement
        return
    holding: list[Helper] = []
    refused: list[str] = []
    try:
        waiting = [replace(helper, kv_tokens=0) for helper in placement.helpers]
        while (missing := len(parts) - len(holding)) and missing <= len(waiting):
            asked, waiting = waiting[:missing], waiting[missing:]
            asked = [replace(helper, kv_tokens=parts[0]) for helper in asked]
            await _reserve_all(reservations, asked, owner, holding, refused)
        if len(holding) < len(parts):
            yield NotReserved(tuple(refused))
            return
        held = {helper.target.target_id: helper for helper in holding}
        others = (
            replace(helper, kv_tokens=0)
            for helper in placement.helpers
            if helper.target.target_id not in held
        )
        yield replace(placement, helpers=(*holding, *others))
    finally:
        for helper in holding:
            reservations.release(helper.reservation_id)


async def _reserve_all(
    reservations: EngineReservations,
    helpers: list[Helper],
    owner: str,
    holding: list[Helper],
    refused: list[str],
) -> None:
    """Reserve memory on helpers at the same time, and add each to one of the lists."""

    async def reserve(helper: Helper) -> None:
        target = helper.target
        outcome = await reservations.reserve(
            target, f"{owner}-{target.target_id}", helper.kv_tokens
        )
        if isinstance(outcome, Reserved):
            holding.append(replace(helper, reservation_id=outcome.reservation_id))
        else:
            refused.append(target.target_id)

    async with trio.open_nursery() as nursery:
        for helper in helpers:
            nursery.start_soon(reserve, helper)
