"""Runs hypothesis state machines with the same histories in each run."""

from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import RuleBasedStateMachine, run_state_machine_as_test

STEPS_PER_HISTORY = 60


def run_histories(machine: type[RuleBasedStateMachine], count: int) -> None:
    """Run `count` random histories, drawn from a fixed seed."""
    fixed = settings(
        max_examples=count,
        stateful_step_count=STEPS_PER_HISTORY,
        derandomize=True,
        database=None,
        deadline=None,
        # No shrinking: it takes minutes and does not change the result.
        phases=[Phase.explicit, Phase.generate],
        suppress_health_check=list(HealthCheck),
    )
    run_state_machine_as_test(machine, settings=fixed)
