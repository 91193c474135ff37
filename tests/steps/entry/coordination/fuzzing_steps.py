"""Steps that run state machines."""

from behave import when
from behave.runner import Context
from hypothesis.stateful import run_state_machine_as_test
from support.run_machine import SETTINGS, RunMachine


@when("the state machine of run records is run")
def step_runs(context: Context) -> None:
    run_state_machine_as_test(RunMachine, settings=SETTINGS)
