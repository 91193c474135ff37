"""Steps for credits."""

from behave import then
from behave.runner import Context
from support.credit_machine import CreditMachine
from support.histories import run_histories
from support.reservation_machine import ReservationMachine


@then("{count:d} random histories of credits with lost, repeated and late messages keep the rules")
def step_credit_histories(context: Context, count: int) -> None:
    run_histories(CreditMachine, count)


@then(
    "{count:d} random histories of reservations with refusals, cancellation and deaths keep the "
    "rules"
)
def step_reservation_histories(context: Context, count: int) -> None:
    run_histories(ReservationMachine, count)
