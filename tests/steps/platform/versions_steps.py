"""Steps for changes of versions under faults."""

import tempfile
from functools import partial
from pathlib import Path

import trio
from behave import then, when
from behave.runner import Context
from wasabiwell_standins.users_platform.deployment import DeploymentSize
from wasabiwell_standins.users_platform.version_play import play_seed

IP_BLOCK = 240
"""Second number of the processes' IP addresses; no other feature uses it."""
NO_FAULTS_SECONDS = 0.1
"""Duration in which no other fault begins."""


@when(
    "versions change for {seconds:d} seconds under the faults of seed {seed:d} on "
    "{entries:d} instances"
)
def step_play(context: Context, seconds: int, seed: int, entries: int) -> None:
    folder = Path(context.stack.enter_context(tempfile.TemporaryDirectory()))
    size = DeploymentSize(entries, engines=0, plain=2, block=IP_BLOCK)
    context.entries = entries
    context.report = trio.run(play_seed, seed, seconds, size, folder)


@when("all open connections become silent just before a version on {entries:d} instances")
def step_silent_end(context: Context, entries: int) -> None:
    folder = Path(context.stack.enter_context(tempfile.TemporaryDirectory()))
    size = DeploymentSize(entries, engines=0, plain=2, block=IP_BLOCK)
    play = partial(play_seed, 5, NO_FAULTS_SECONDS, size, folder, silent_end=True)
    context.report = trio.run(play)
    assert context.report.probes["added route and key: 200"] >= entries, context.report.probes


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
