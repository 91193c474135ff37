"""Measures the CPU time that traces and metrics cost an entry instance."""

import os
from dataclasses import replace
from pathlib import Path

import click

from wasabiwell_standins.caller import chat, make_messages
from wasabiwell_standins.deployments import EAVELINE
from wasabiwell_standins.fleet import HOST, Fleet, free_ports, open_fleet

TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


def cpu_seconds(pid: int) -> float:
    """Return the CPU time (user and system) of a process."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def cpu_ms_per_request(fleet: Fleet, requests: int) -> float:
    """Return the CPU time of an entry instance for each request, in milliseconds."""
    entry = fleet.entries[0]
    key = next(iter(fleet.deployment.organisations.values()))
    before = cpu_seconds(entry.pid)
    for number in range(requests):
        messages = make_messages(1000, f"cost {number}")
        result = chat(entry.address, key, fleet.deployment.engine_service, messages, 8)
        if result.error:
            raise click.ClickException(result.error)
    return (cpu_seconds(entry.pid) - before) / requests * 1000


@click.command()
@click.option("--requests", default=300, show_default=True, help="Requests in each run.")
@click.option("--rounds", default=2, show_default=True, help="Runs with and without telemetry.")
def main(requests: int, rounds: int) -> None:
    """Print the CPU time per request, alternately without and with an OTLP receiver."""
    for _ in range(rounds):
        for with_otlp in (False, True):
            with open_fleet(replace(EAVELINE, entries=1)) as fleet:
                fleet.start_platform()
                fleet.start_engine(0)
                options: tuple[str, ...] = ()
                if with_otlp:
                    address = f"{HOST}:{free_ports()[0]}"
                    fleet.start_module(
                        "otlp", "otlp", address, "wasabiwell_standins.otlp", ["--address", address]
                    )
                    options = ("--otlp-endpoint", f"http://{address}")
                fleet.start_entry(0, *options)
                fleet.apply_example()
                fleet.wait_ready()
                cpu_ms_per_request(fleet, requests // 10)
                name = "with OTLP" if with_otlp else "without"
                click.echo(f"{name}: {cpu_ms_per_request(fleet, requests):.2f} ms CPU per request")


if __name__ == "__main__":
    main()
