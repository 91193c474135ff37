"""Steps for credits."""

from behave import then
from behave.runner import Context
from support.credit_machine import CreditMachine
from support.histories import run_histories


@then("{count:d} random histories of credits with lost, repeated and late messages keep the rules")
def step_credit_histories(context: Context, count: int) -> None:
    run_histories(CreditMachine, count)
