"""Steps for changes of versions under faults."""

import tempfile
from pathlib import Path

import trio
from behave import then, when
from behave.runner import Context
from wasabiwell_standins.users_platform.deployment import DeploymentSize
from wasabiwell_standins.users_platform.version_play import play_seed

IP_BLOCK = 240
"""Second number of the processes' IP addresses; no other feature uses it."""


@when(
    "versions change for {seconds:d} seconds under the faults of seed {seed:d} on "
    "{entries:d} instances"
)
def step_play(context: Context, seconds: int, seed: int, entries: int) -> None:
    folder = Path(context.stack.enter_context(tempfile.TemporaryDirectory()))
    size = DeploymentSize(entries, engines=0, plain=2, block=IP_BLOCK)
    context.entries = entries
    context.report = trio.run(play_seed, seed, seconds, size, folder)


@then("several versions and faults were played")
def step_played(context: Context) -> None:
    report = context.report
    assert report.versions >= 3, report.timeline
    assert sum(report.faults.values()) >= 3, report.timeline
    served = report.probes["added route and key: 200"]
    assert served >= context.entries, report.probes


@then("no instance served an older version")
def step_no_older(context: Context) -> None:
    report = context.report
    assert not report.findings, "\n".join([*report.findings, "happened:", *report.timeline])
