"""Steps for credits."""

from datetime import timedelta

import trio
from behave import given, then, when
from behave.runner import Context
from support.credit_machine import CreditMachine
from support.histories import run_histories
from support.reservation_machine import ENGINES, ReservationMachine
from wasabiwell_entry.coordination.admission.ports import Hold
from wasabiwell_entry.coordination.credits import EngineOwners
from wasabiwell_entry.coordination.credits.const import CREDIT_LIFETIME
from wasabiwell_entry.state.credits import (
    ZERO_AMOUNT,
    Amount,
    CreditClaim,
    CreditLedger,
    CreditPool,
)
from wasabiwell_entry.state.sizes import SizeClass

NOW = timedelta(minutes=1)


@then("{count:d} random credit histories with lost, repeated and late messages keep the invariants")
def step_credit_histories(context: Context, count: int) -> None:
    run_histories(CreditMachine, count)


@then(
    "{count:d} random reservation histories with refusals, cancellation and crashes keep the "
    "invariants"
)
def step_reservation_histories(context: Context, count: int) -> None:
    run_histories(ReservationMachine, count)


def slots(count: int) -> Amount:
    """Return an amount with 10 tokens for each slot."""
    return Amount(count, 10 * count)


def claim(holder: str, sequence: int, wanted: int, current: int = 0) -> CreditClaim:
    """Return a claim for slots, none of which are in use."""
    return CreditClaim("e", holder, sequence, slots(wanted), slots(current), ZERO_AMOUNT)


@given("a holder with a credit of {count:d} slots that is idle")
def step_idle_holder(context: Context, count: int) -> None:
    context.pool = CreditPool("e", "h", CREDIT_LIFETIME)
    context.pool.record_demand(slots(count), slots(count))
    sequence = context.pool.claim(NOW).sequence
    assert context.pool.granted(sequence, slots(count))
    assert context.pool.valid(NOW) == slots(count)


@when("the holder sends its next claim and the response is lost")
def step_claim_lost(context: Context) -> None:
    context.pool.claim(NOW)


@then("the holder may use {count:d} slots")
def step_may_use(context: Context, count: int) -> None:
    assert context.pool.valid(NOW) == slots(count)


@given("an owner of {count:d} slots without recorded credits")
def step_ledger(context: Context, count: int) -> None:
    context.ledger = CreditLedger("e", CREDIT_LIFETIME)
    context.ledger.report(slots(count), ZERO_AMOUNT)


@given("an owner of {count:d} slots that recorded credits of {each:d} slots of each of 2 holders")
def step_recorded(context: Context, count: int, each: int) -> None:
    step_ledger(context, count)
    for holder in ("a", "b"):
        context.ledger.record(claim(holder, 1, each, each), NOW)


@when("both holders claim {count:d} slots again from the ready owner")
def step_claim_again(context: Context, count: int) -> None:
    for holder in ("a", "b"):
        context.ledger.apply(claim(holder, 2, count, count), NOW)


@when("2 holders that have {count:d} slots each claim them from the recovering owner")
def step_claim_recovering(context: Context, count: int) -> None:
    for holder in ("a", "b"):
        context.ledger.recover(claim(holder, 1, count, count), NOW)


@when("a holder claims {count:d} slots and an earlier release arrives after it")
def step_late_release(context: Context, count: int) -> None:
    context.ledger.apply(claim("a", 5, count), NOW)
    context.ledger.release("a", 4)


@when("the engine reports {used:d} used slots and a holder claims {count:d} slots")
def step_expired_use(context: Context, used: int, count: int) -> None:
    context.ledger.report(context.ledger.capacity, slots(used))
    context.ledger.apply(claim("a", 1, count), NOW)


@then("the owner has leased {count:d} slots")
def step_leased(context: Context, count: int) -> None:
    assert context.ledger.outstanding() == slots(count), context.ledger.outstanding()


@given("a new owner and a member that does not respond")
def step_new_owner(context: Context) -> None:
    context.machine = CreditMachine()
    context.node = context.machine.owner_index()
    context.machine.collect(context.node, {(context.node + 1) % 3})


@when("a holder claims 1 slot from the new owner after the collection")
def step_claim_new_owner(context: Context) -> None:
    machine, other = context.machine, (context.node + 2) % 3
    context.granted = []
    for _ in range(2):
        machine.take_and_exchange(other, 1, 100, "whole")
        context.granted.append(machine.pools[other].valid(machine.clock.monotonic()).slots)
        machine.clock.advance(CREDIT_LIFETIME)


@then("the claim is granted only after one lifetime")
def step_granted_later(context: Context) -> None:
    assert context.granted == [0, 1], context.granted


@given("an engine whose owner does not respond")
def step_silent_owner(context: Context) -> None:
    context.machine = ReservationMachine()
    context.machine.peers.lose_request = True
    owners = EngineOwners(
        context.machine.members.get("n-0"), context.machine.members, context.machine.targets
    )
    context.engine = next(name for name in ENGINES if owners.owner(name).node_id == "n-1")


@when("the holder keeps requesting {tokens:d} tokens")
def step_keep_requesting(context: Context, tokens: int) -> None:
    machine, holder = context.machine, context.machine.holders[0]

    async def ask() -> timedelta:
        begin = machine.clock.monotonic()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(holder.run)
            with trio.fail_after(20):
                while not isinstance(
                    holder.try_hold(context.engine, tokens, SizeClass.SHORT), Hold
                ):
                    machine.report()
                    holder.report_demand(context.engine, tokens, SizeClass.SHORT)
                    await trio.lowlevel.checkpoint()
            waited = machine.clock.monotonic() - begin
            nursery.cancel_scope.cancel()
        return waited

    context.waited = trio.run(ask)


@then("it gets them only after one lifetime, and never gets {tokens:d} tokens")
def step_only_after(context: Context, tokens: int) -> None:
    assert context.waited >= CREDIT_LIFETIME, context.waited
    holder = context.machine.holders[0]
    holder.report_demand(context.engine, tokens, SizeClass.SHORT)
    assert not isinstance(holder.try_hold(context.engine, tokens, SizeClass.SHORT), Hold)
