"""behave hooks: deployments per feature and resources per scenario."""

import sys
from contextlib import ExitStack
from pathlib import Path

# behave puts Path objects on sys.path while it loads steps; importing hypothesis fails with them.
import hypothesis
from behave.model import Feature, Scenario
from behave.runner import Context

sys.path.insert(0, str(Path(__file__).parent))

# Imported before the steps are loaded, for the same reason.
import hypothesis.stateful
from wasabiwell_standins.deployments import DEPLOYMENTS
from wasabiwell_standins.fleet import running_fleet

FLEET_TAG = "fleet."
"""Prefix of a tag `fleet.NAME`; all scenarios of the feature share one running deployment."""


# Makes the entries of sys.path strings, so that hypothesis can be imported.
sys.path[:] = [str(item) for item in sys.path]
import hypothesis  # noqa: E402, F401


def before_feature(context: Context, feature: Feature) -> None:
    """Start the deployment that a tag of the feature selects."""
    context.feature_stack = ExitStack()
    for tag in feature.tags:
        if tag.startswith(FLEET_TAG):
            deployment = DEPLOYMENTS[tag.removeprefix(FLEET_TAG)]
            context.fleet = context.feature_stack.enter_context(
                running_fleet(deployment, "--address-ttl-s", "2")
            )


def after_feature(context: Context, feature: Feature) -> None:
    """Release the feature's resources."""
    context.feature_stack.close()


def before_scenario(context: Context, scenario: Scenario) -> None:
    """Create the stack that holds the scenario's resources."""
    context.stack = ExitStack()


def after_scenario(context: Context, scenario: Scenario) -> None:
    """Release the scenario's resources."""
    context.stack.close()
