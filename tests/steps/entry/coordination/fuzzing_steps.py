"""Steps that run state machines."""

from behave import when
from behave.runner import Context
from hypothesis.stateful import run_state_machine_as_test
from support import assembler_machine, run_machine


@when("the state machine of run records is run")
def step_runs(context: Context) -> None:
    run_state_machine_as_test(run_machine.RunMachine, settings=run_machine.SETTINGS)


@when("the state machine of the response assembler is run")
def step_assembler(context: Context) -> None:
    run_state_machine_as_test(
        assembler_machine.AssemblerMachine, settings=assembler_machine.SETTINGS
    )
