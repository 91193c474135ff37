"""Set-up of the test runs."""

import sys
from contextlib import ExitStack
from pathlib import Path

from behave.model import Feature, Scenario
from behave.runner import Context

sys.path.insert(0, str(Path(__file__).parent))

# behave puts path objects on sys.path while it loads steps, and hypothesis requires strings there.
import hypothesis.stateful  # noqa: F401
from wasabiwell_standins.deployments import DEPLOYMENTS
from wasabiwell_standins.fleet import running_fleet

FLEET_TAG = "fleet."
"""A feature with the tag `fleet.NAME` shares one running deployment among its scenarios."""


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
