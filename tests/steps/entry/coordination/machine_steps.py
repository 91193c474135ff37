"""Steps that run Hypothesis state machines, derandomized so that each run tries the same cases."""

from behave import then, when
from behave.runner import Context
from hypothesis import HealthCheck, settings
from hypothesis.stateful import RuleBasedStateMachine, run_state_machine_as_test
from support.configuration_machine import ConfigurationMachine
from support.membership_machine import MembershipMachine

MACHINES: dict[str, type[RuleBasedStateMachine]] = {
    "membership": MembershipMachine,
    "configuration": ConfigurationMachine,
}


@when("{count:d} sequences of {steps:d} steps of the {name} machine run")
def step_machine(context: Context, count: int, steps: int, name: str) -> None:
    machine_settings = settings(
        max_examples=count,
        stateful_step_count=steps,
        derandomize=True,
        deadline=None,
        database=None,
        suppress_health_check=list(HealthCheck),
    )
    context.machine_ran = False
    run_state_machine_as_test(MACHINES[name], settings=machine_settings)
    context.machine_ran = True


@then("every sequence agreed with the oracle")
def step_agreed(context: Context) -> None:
    assert context.machine_ran
