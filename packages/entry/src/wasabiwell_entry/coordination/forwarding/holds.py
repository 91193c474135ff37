"""Reserves the memory that a placement needs on helpers, on all of them or on none."""

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
    """Hold the memory of a placement until the context ends; `owner` is unique to the attempt."""
    if not any(helper.hold_tokens for helper in placement.helpers):
        yield placement
        return
    reserved: dict[int, str] = {}

    async def reserve(index: int, helper: Helper) -> None:
        outcome = await reservations.reserve(helper.target, f"{owner}-{index}", helper.hold_tokens)
        if isinstance(outcome, Reserved):
            reserved[index] = outcome.reservation_id

    wanted = {index: item for index, item in enumerate(placement.helpers) if item.hold_tokens}
    try:
        async with trio.open_nursery() as nursery:
            for index, helper in wanted.items():
                nursery.start_soon(reserve, index, helper)
        refused = tuple(
            helper.target.target_id for index, helper in wanted.items() if index not in reserved
        )
        if refused:
            yield NotReserved(refused)
            return
        helpers = tuple(
            replace(helper, reservation_id=reserved.get(index, ""))
            for index, helper in enumerate(placement.helpers)
        )
        yield replace(placement, helpers=helpers)
    finally:
        for reservation_id in reserved.values():
            reservations.give_back(reservation_id)
