"""Fakes and builders for tests of admission, routing and limits."""

from dataclasses import dataclass, field
from datetime import timedelta

import trio
from wasabiwell_config import Organisation
from wasabiwell_entry.coordination.admission.ports import LimitExceeded, LimitLease
from wasabiwell_entry.coordination.reservations.errors import ReservationRefused, Reserved
from wasabiwell_entry.state.requests import GenerateRequest
from wasabiwell_entry.state.sizes import SizeClass
from wasabiwell_entry.state.targets import EngineLoad, Target, TargetKind, TargetTable

SERVICE = "ice-advisor"


def make_request(
    tokens: int,
    organisation: str = "a",
    now: timedelta = timedelta(),
    blocks: tuple[int, ...] = (),
    number: int = 0,
) -> GenerateRequest:
    """Return a request that needs `tokens` tokens of memory."""
    return GenerateRequest(
        request_id=f"{organisation}-{number}",
        organisation=organisation,
        service=SERVICE,
        messages=b"[]",
        prompt_tokens=tokens - 1,
        max_tokens=1,
        fingerprint="",
        received=now,
        deadline=now + timedelta(seconds=60),
        prefix_hashes=blocks,
    )


def make_load(
    now: timedelta, used: int = 0, running: int = 0, prefill_tokens: int = 0
) -> EngineLoad:
    """Return the load report of an engine with 400,000 tokens and 8 slots."""
    return EngineLoad(now, 8, running, 0, 400_000, 400_000 - used, prefill_tokens)


def make_targets(count: int, now: timedelta, used: int = 0) -> TargetTable:
    """Return engines `e0`, `e1`, ... with one zone each; `e0` is in the local zone `z0`."""
    table = TargetTable()
    for index in range(count):
        target = Target(
            f"e{index}", TargetKind.ENGINE, SERVICE, f"127.0.0.1:{index}", "r", f"z{index}"
        )
        table.put(target).load = make_load(now, used)
    return table


@dataclass(slots=True)
class FakeReservations:
    """In-memory reservations; the engines in `refusing` refuse all of them."""

    held: dict[str, tuple[str, int]] = field(default_factory=dict)
    order: list[tuple[str, int]] = field(default_factory=list)
    refusing: set[str] = field(default_factory=set)

    async def reserve(
        self, target: Target, owner: str, tokens: int
    ) -> Reserved | ReservationRefused:
        """Reserve memory."""
        await trio.lowlevel.checkpoint()
        if target.target_id in self.refusing:
            return ReservationRefused("no memory")
        reservation_id = f"r{len(self.order)}"
        self.order.append((target.target_id, tokens))
        self.held[reservation_id] = (target.target_id, tokens)
        return Reserved(reservation_id)

    async def release(self, target: Target, reservation_id: str) -> None:
        """Release a reservation."""
        await trio.lowlevel.checkpoint()
        self.held.pop(reservation_id, None)


@dataclass(slots=True)
class CountingLimits:
    """Limits that admit every request and count the running ones."""

    running: int = 0

    async def ensure_share(self, organisation: Organisation, size: SizeClass) -> None:
        """Do nothing."""

    def try_acquire(
        self, organisation: Organisation, tokens: int, size: SizeClass
    ) -> LimitLease | LimitExceeded:
        """Admit a request."""
        self.running += 1
        return LimitLease(organisation.name, size, tokens)

    def release_lease(self, lease: LimitLease) -> None:
        """Count the end of a request."""
        self.running -= 1
