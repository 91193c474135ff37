"""Compares the engine selection policies under the same load, with real entry processes."""

import importlib
import os
import pkgutil
import subprocess
import sys
import threading
from collections.abc import Iterable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path

import click
import msgspec

import wasabiwell_standins
from wasabiwell_standins.deployments import DEPLOYMENTS, Deployment
from wasabiwell_standins.fleet import Fleet, Process, open_fleet
from wasabiwell_standins.load import Plan, Result
from wasabiwell_standins.mixes import plan_backlog, plan_requests

POLICIES = ("round-robin", "least-outstanding", "first-landed", "load-reports", "current")
TIME_SCALE = 0.5
"""Factor of the engines' durations, so that all policies run within four minutes."""
BACKLOG_SECONDS = 10.0
BACKLOG_WARM_UP_SECONDS = 4.0
"""Responses that end earlier are not counted, because the queues are still filling."""
LARGE_WORKERS = 36
SMALL_WORKERS = 12
"""Requests in flight per organisation, above its share of slots, so that it stays backlogged."""
SAMPLE_SECONDS = 0.5
SEED = 7
SLOTS = "8"
LARGE_ORGANISATIONS = 3
LARGE_WEIGHT = 4.0
MODULE_PREFIX = "measure_"


@dataclass(slots=True)
class LoadRun:
    """Results of a load run and resource use of the fleet during it.

    `memory_use` holds samples of the share of engine memory in use, from 0 to 1.
    """

    results: list[Result]
    entry_cpu_s: float
    control_bytes: int
    seconds: float
    memory_use: list[float] = field(default_factory=list)


@click.group(invoke_without_command=True)
@click.option("--json", "json_file", type=click.Path(), help="Write the figures here.")
@click.option("--deployment", "names", multiple=True, type=click.Choice(sorted(DEPLOYMENTS)))
@click.option("--policy", "policies", multiple=True, type=click.Choice(POLICIES))
@click.option("--seed", default=SEED, show_default=True)
@click.pass_context
def main(
    context: click.Context,
    json_file: str | None,
    names: tuple[str, ...],
    policies: tuple[str, ...],
    seed: int,
) -> None:
    """Run measurements; without a sub-command, all policies in both deployments."""
    if context.invoked_subcommand is not None:
        return
    selected = names or tuple(sorted(DEPLOYMENTS))
    # The deployments run concurrently, because a default run must end within four minutes.
    with ThreadPoolExecutor(len(selected)) as pool:
        results = pool.map(
            lambda name: measure(DEPLOYMENTS[name], policies or POLICIES, seed), selected
        )
        figures = {
            name: {"policies": result} for name, result in zip(selected, results, strict=True)
        }
    if json_file is not None:
        Path(json_file).write_bytes(msgspec.json.encode({"deployments": figures}) + b"\n")


def measure(
    deployment: Deployment, policies: Iterable[str], seed: int
) -> dict[str, dict[str, float | None]]:
    """Measure policies in sequence on the same engines and return the figures by policy."""
    figures: dict[str, dict[str, float | None]] = {}
    with open_fleet(deployment) as fleet:
        fleet.start_platform()
        options = ("--time-scale", str(TIME_SCALE), "--slots", SLOTS)
        with ThreadPoolExecutor(deployment.engines) as pool:
            list(
                pool.map(
                    lambda index: fleet.start_engine(index, *options), range(deployment.engines)
                )
            )
        for policy in policies:
            with ThreadPoolExecutor(deployment.entries) as pool:
                start = partial(_start_entry, fleet, policy)
                entries = list(pool.map(start, range(deployment.entries)))
            if not figures:
                fleet.apply_example()
            fleet.wait_ready()
            figures[policy] = _measure_policy(fleet, policy, seed)
            for entry in entries:
                entry.kill()
                fleet.deregister_instance(entry)
                fleet.processes.remove(entry)
    return figures


def _start_entry(fleet: Fleet, policy: str, index: int) -> Process:
    return fleet.start_entry(index, "--policy", policy)


def _measure_policy(fleet: Fleet, policy: str, seed: int) -> dict[str, float | None]:
    workers = {
        name: LARGE_WORKERS if index < LARGE_ORGANISATIONS else SMALL_WORKERS
        for index, name in enumerate(fleet.deployment.organisations)
    }
    backlog_plan = Plan([], {}, "", plan_backlog(fleet.deployment), workers, BACKLOG_SECONDS)
    backlog = _run_load(fleet, backlog_plan)
    refusals = _sum_engine_statistic(fleet, "overcommit_refusals")
    without_long = _run_load(
        fleet, Plan([], {}, "", plan_requests(fleet.deployment, seed, f"{policy}-a", False))
    )
    with_long = _run_load(
        fleet, Plan([], {}, "", plan_requests(fleet.deployment, seed, f"{policy}-b", True))
    )
    overcommit = _sum_engine_statistic(fleet, "overcommit_refusals") - refusals
    p95_without_long = percentile(_first_token_times(without_long, "short"), 95)
    p95_with_long = percentile(_first_token_times(with_long, "short"), 95)
    long_results = [result for result in with_long.results if result.kind == "long"]
    tokens = sum(result.tokens for result in without_long.results)
    figures = {
        "short_first_token_p95_s": p95_with_long,
        "short_slowdown_p95": p95_with_long / p95_without_long
        if p95_with_long and p95_without_long
        else None,
        "long_finished_share": sum(not item.error for item in long_results) / len(long_results),
        "worst_share_error": _worst_share_error(fleet.deployment, backlog),
        "overcommit_events": overcommit,
        "relay_cpu_ms_per_token": 1000 * without_long.entry_cpu_s / max(1, tokens),
        "control_bytes_per_s": with_long.control_bytes / with_long.seconds,
    }
    _print(fleet.deployment.name, policy, figures, without_long, with_long)
    return figures


def _run_load(fleet: Fleet, plan: Plan) -> LoadRun:
    """Run the load generator as a subprocess and sample the engines while it runs."""
    load_plan = Plan(
        [entry.address for entry in fleet.entries],
        fleet.deployment.organisations,
        fleet.deployment.engine_service,
        plan.requests,
        plan.workers,
        plan.duration_s,
    )
    cpu_before, control = _cpu_seconds(fleet.entries), _sum_engine_statistic(fleet, "control_bytes")
    memory_use: list[float] = []
    stopped = threading.Event()
    sampler = threading.Thread(target=_sample_memory_use, args=(fleet, memory_use, stopped))
    sampler.start()
    started = os.times().elapsed
    try:
        finished = subprocess.run(
            [sys.executable, "-m", "wasabiwell_standins.load"],
            input=msgspec.json.encode(load_plan),
            stdout=subprocess.PIPE,
            check=True,
        )
    finally:
        stopped.set()
        sampler.join()
    return LoadRun(
        msgspec.json.decode(finished.stdout, type=list[Result]),
        _cpu_seconds(fleet.entries) - cpu_before,
        _sum_engine_statistic(fleet, "control_bytes") - control,
        os.times().elapsed - started,
        memory_use,
    )


def _sample_memory_use(fleet: Fleet, memory_use: list[float], stopped: threading.Event) -> None:
    total = fleet.deployment.engine_tokens * len(fleet.processes_with_role("engine"))
    while not stopped.wait(SAMPLE_SECONDS):
        memory_use.append(_sum_engine_statistic(fleet, "used_tokens") / total)


def _sum_engine_statistic(fleet: Fleet, name: str) -> int:
    return sum(
        int(str(fleet.control(engine)[name])) for engine in fleet.processes_with_role("engine")
    )


def _cpu_seconds(processes: Iterable[Process]) -> float:
    """Return the total CPU time (user and system) of processes, from /proc/PID/stat."""
    ticks = 0
    for process in processes:
        fields = Path(f"/proc/{process.pid}/stat").read_text().rpartition(")")[2].split()
        ticks += int(fields[11]) + int(fields[12])
    return ticks / os.sysconf("SC_CLK_TCK")


def percentile(values: list[float], percent: int) -> float | None:
    """Return a percentile by the nearest-rank method, or None without values."""
    if not values:
        return None
    ordered = sorted(values)
    return ordered[max(0, -(-len(ordered) * percent // 100) - 1)]


def _first_token_times(load_run: LoadRun, kind: str) -> list[float]:
    return [item.first_token_s for item in load_run.results if item.kind == kind and not item.error]


def _worst_share_error(deployment: Deployment, load_run: LoadRun) -> float:
    """Return the largest relative deviation of an organisation's share from its weighted share."""
    served = dict.fromkeys(deployment.organisations, 0)
    for result in load_run.results:
        if not result.error and result.ended_s > BACKLOG_WARM_UP_SECONDS:
            served[result.organisation] += result.prompt_tokens + result.tokens
    weights = {
        name: LARGE_WEIGHT if index < LARGE_ORGANISATIONS else 1.0
        for index, name in enumerate(deployment.organisations)
    }
    # Prompt and output tokens both count, as in the fair queue.
    total, weight_sum = max(1, sum(served.values())), sum(weights.values())
    return max(abs(served[name] / total / (weights[name] / weight_sum) - 1.0) for name in weights)


def _print(
    deployment: str,
    policy: str,
    figures: dict[str, float | None],
    without_long: LoadRun,
    with_long: LoadRun,
) -> None:
    click.echo(f"{deployment} {policy}")
    for label, load_run in (("without longs", without_long), ("with longs", with_long)):
        for kind in ("short", "medium", "long"):
            values = _first_token_times(load_run, kind)
            errors = [item.error for item in load_run.results if item.kind == kind and item.error]
            row = [percentile(values, percent) for percent in (50, 95, 99)]
            text = "".join(f"{value:>9.3f}" if value is not None else f"{'-':>9}" for value in row)
            click.echo(f"  {label:<14}{kind:<8}{len(values):>5} right{len(errors):>4} wrong{text}")
            for error in sorted(set(errors))[:3]:
                click.echo(f"    {error[:160]}")
    peak = max(with_long.memory_use, default=0.0)
    click.echo(f"  peak share of the fleet's memory in use: {peak:.2f}")
    for name, value in figures.items():
        click.echo(f"  {name:<26}{value if value is not None else float('nan'):>12.4f}")


def _register_subcommands() -> None:
    """Register the command of each module `measure_NAME` as the sub-command NAME."""
    for module in pkgutil.iter_modules(wasabiwell_standins.__path__):
        if module.name.startswith(MODULE_PREFIX):
            loaded = importlib.import_module(f"{wasabiwell_standins.__name__}.{module.name}")
            main.add_command(loaded.main, module.name.removeprefix(MODULE_PREFIX))


_register_subcommands()

if __name__ == "__main__":
    main()
