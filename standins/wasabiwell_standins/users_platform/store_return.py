"""The drill in which the store is away for a moment and returns from an older copy."""

from dataclasses import dataclass
from random import Random

import trio

from wasabiwell_standins.users_platform.store import LostRow, Outage, StoreCopy, StoreStandIn

REWRITTEN_TABLES = frozenset({"op", "servers"})
"""Tables whose writers, the operator and the targets, write again what the store has lost."""


@dataclass(frozen=True, slots=True)
class StoreReturn:
    """How the store returns: `away_s` without service, then `rewrite_s` until all is written again.

    `outage` is how calls fail while the store is away. With `hang_polls`, the polls that are open
    get no response.
    """

    away_s: float = 0.6
    rewrite_s: float = 2.0
    outage: Outage = Outage.BUSY
    hang_polls: bool = False


async def return_from_copy(
    store: StoreStandIn, copy: StoreCopy, drill: StoreReturn, random: Random
) -> list[LostRow]:
    """Let the store be away and return from a copy; return the rows that were written again.

    The rows are written in random order at even intervals; those that have changed since the return
    are left as they are.
    """
    outage_before = store.faults.outage
    store.faults.hang_old_polls = drill.hang_polls
    store.faults.outage = drill.outage
    await trio.sleep(drill.away_s)
    lost = store.restore(copy)
    store.faults.outage = outage_before
    pending = [row for row in lost if row.row_key.table in REWRITTEN_TABLES]
    random.shuffle(pending)
    rewritten = []
    for row in pending:
        await trio.sleep(drill.rewrite_s / len(pending))
        if not store.has_changed(row.row_key, copy.version):
            store.put_row(row.row_key.table, row.row_key.key, row.value)
            rewritten.append(row)
    store.faults.hang_old_polls = False
    return rewritten
