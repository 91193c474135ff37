"""Set-up of the test runs."""

import sys
from contextlib import ExitStack
from pathlib import Path

# behave puts Path objects on sys.path while it loads steps, where an import of hypothesis fails.
import hypothesis
from behave.model import Feature, Scenario
from behave.runner import Context

sys.path.insert(0, str(Path(__file__).parent))

# behave puts path objects on sys.path while it loads steps, and hypothesis requires strings there.
import hypothesis.stateful
from wasabiwell_standins.deployments import DEPLOYMENTS
from wasabiwell_standins.fleet import running_fleet

FLEET_TAG = "fleet."
"""A feature with the tag `fleet.NAME` shares one running deployment among its scenarios."""


# behave adds `Path` objects to `sys.path` before it loads the steps; hypothesis reads it at its
# import and needs text.
sys.path[:] = [str(item) for item in sys.path]
import hypothesis  # noqa: E402, F401


def before_feature(context: Context, feature: Feature) -> None:
    """Start the deployment that the feature's tags ask for."""
    context.feature_stack = ExitStack()
    for tag in feature.tags:
        if tag.startswith(FLEET_TAG):
            deployment = DEPLOYMENTS[tag.removeprefix(FLEET_TAG)]
            context.fleet = context.feature_stack.enter_context(
                running_fleet(deployment, "--address-ttl-s", "2")
            )


def after_feature(context: Context, feature: Feature) -> None:
    """Stop what the feature started."""
    context.feature_stack.close()


def before_scenario(context: Context, scenario: Scenario) -> None:
    """Give the scenario a stack of resources of its own."""
    context.stack = ExitStack()


def after_scenario(context: Context, scenario: Scenario) -> None:
    """Release the scenario's resources."""
    context.stack.close()
