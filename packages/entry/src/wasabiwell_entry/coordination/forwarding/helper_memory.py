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
    """Engines did not have enough memory or did not respond; no reservation is left."""

    target_ids: tuple[str, ...]


@asynccontextmanager
async def reserve_helper_memory(
    reservations: EngineReservations, placement: Placement, owner: str
) -> AsyncIterator[Placement | NotReserved]:
    """Reserve the memory of a placement until the context ends; `owner` is unique to the attempt.

    A helper that cannot reserve memory is replaced by the next one without a reservation, as all
    segments are equal.
    """
    segments = [helper.kv_tokens for helper in placement.helpers if helper.kv_tokens]
    if not segments:
        yield placement
        return
    reserved: list[Helper] = []
    refused: list[str] = []
    try:
        untried = [replace(helper, kv_tokens=0) for helper in placement.helpers]
        while (missing := len(segments) - len(reserved)) and missing <= len(untried):
            asked, untried = untried[:missing], untried[missing:]
            asked = [replace(helper, kv_tokens=segments[0]) for helper in asked]
            await _reserve_all(reservations, asked, owner, reserved, refused)
        if len(reserved) < len(segments):
            yield NotReserved(tuple(refused))
            return
        reserved_by_id = {helper.target.target_id: helper for helper in reserved}
        others = (
            replace(helper, kv_tokens=0)
            for helper in placement.helpers
            if helper.target.target_id not in reserved_by_id
        )
        yield replace(placement, helpers=(*reserved, *others))
    finally:
        for helper in reserved:
            reservations.release(helper.reservation_id)


async def _reserve_all(
    reservations: EngineReservations,
    helpers: list[Helper],
    owner: str,
    reserved: list[Helper],
    refused: list[str],
) -> None:
    """Reserve memory on all helpers concurrently, and add each to one of the two lists."""

    async def reserve(helper: Helper) -> None:
        target = helper.target
        outcome = await reservations.reserve(
            target, f"{owner}-{target.target_id}", helper.kv_tokens
        )
        if isinstance(outcome, Reserved):
            reserved.append(replace(helper, reservation_id=outcome.reservation_id))
        else:
            refused.append(target.target_id)

    async with trio.open_nursery() as nursery:
        for helper in helpers:
            nursery.start_soon(reserve, helper)
