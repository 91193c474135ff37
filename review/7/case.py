"""A machine whose link to the store was cut sends requests to an engine that has left."""

import random
from pathlib import Path

import trio
from harness2 import Fleet, Link, main, open_fleet

FOLDER = Path(__file__).parent
ROUNDS = 9
CUT_S = 4.0
REMOVED_AFTER_S = 2.0
TOUCH_S = 3.0
DRAIN_S = 2.0
LOAD_S = 1.2


async def play(folder: Path, trouble: bool) -> bool:
    """Return whether no request reached an engine that had left."""
    async with open_fleet(folder) as fleet:
        fleet.publish()
        for number in range(3):
            await fleet.add_engine(number)
        link = await fleet.add_link(0)
        entry = fleet.add_entry(0, store_address=link.address, seeds=())
        entry.start()
        await entry.wait_ready()
        late = 0
        try:
            for number in range(ROUNDS):
                late += await play_round(fleet, link, number, trouble)
        finally:
            fleet.record.add(f"result   {late} requests reached an engine that had left")
            fleet.record.write(FOLDER / "record.txt")
        return late == 0


async def play_round(fleet: Fleet, link: Link, number: int, trouble: bool) -> int:
    """Let an engine leave during a cut; return the requests that reach it too late."""
    [entry] = fleet.entries
    leaving = await fleet.add_engine(10 + number)
    await trio.sleep(1.0)
    for _ in range(20):
        await fleet.send(entry)
    await trio.sleep(random.uniform(0.0, 1.2))
    if trouble:
        link.cut()
        fleet.record.add(f"cut      {entry.name} from the store")
    await trio.sleep(REMOVED_AFTER_S)
    leaving.leaving = True
    fleet.store.put_row("servers", leaving.engine_id, None)
    left_at = trio.current_time()
    fleet.record.add(f"store    entry of {leaving.engine_id} removed, acknowledged")
    await trio.sleep(CUT_S - REMOVED_AFTER_S)
    if trouble:
        link.heal()
        fleet.record.add(f"healed   {entry.name} reaches the store")
    await trio.sleep(TOUCH_S + 0.02)
    in_touch_at = trio.current_time()
    fleet.record.add(f"in touch {entry.name}")
    async with trio.open_nursery() as nursery:
        while trio.current_time() < in_touch_at + LOAD_S:
            nursery.start_soon(fleet.send, entry)
            await trio.sleep(0.05)
    leaving.crashed.set()  # It has exited; nothing runs on it.
    late = [item for item in leaving.arrivals if item.at > max(in_touch_at, left_at + DRAIN_S)]
    for item in late:
        fleet.record.add(
            f"late     {item.request_id} reached {item.engine}"
            f" {item.at - left_at:.3f} s after its entry was removed"
        )
    return len(late)


if __name__ == "__main__":
    main(play, FOLDER)
