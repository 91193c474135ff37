"""Command `wasabiwell-entry`: runs an entry instance."""

import sys
from datetime import timedelta

import click
import logbook
import trio

from wasabiwell_entry.coordination.routing.policies import DEFAULT_POLICY
from wasabiwell_entry.instance import run_instance
from wasabiwell_entry.settings import Settings, check_settings
from wasabiwell_entry.state import log_events


@click.command(context_settings={"auto_envvar_prefix": "WASABIWELL", "show_default": True})
@click.option("--node-id", required=True, help="Id of this entry instance, unique in a deployment.")
@click.option("--region", required=True, help="Region of this entry instance.")
@click.option("--zone", required=True, help="Availability zone of this entry instance.")
@click.option("--caller-address", required=True, help="HOST:PORT for callers and operators.")
@click.option("--peer-address", required=True, help="HOST:PORT for other entry instances.")
@click.option("--table-url", required=True, help="URL of the platform's table service.")
@click.option("--object-url", required=True, help="URL of the platform's object store.")
@click.option("--instance-url", required=True, help="URL of the platform's instance list.")
@click.option("--max-body-bytes", default=16 * 1024 * 1024, help="Largest request body, in bytes.")
@click.option(
    "--body-timeout-s", default=30.0, help="Time for a request body to arrive, in seconds."
)
@click.option(
    "--address-ttl-s", default=10.0, help="Time for which callers keep addresses, in seconds."
)
@click.option("--policy", default=DEFAULT_POLICY, help="Policy of choosing engines.")
def main(body_timeout_s: float, address_ttl_s: float, **values: object) -> None:
    """Run an entry instance of wasabiwell."""
    settings = Settings(
        body_timeout=timedelta(seconds=body_timeout_s),
        address_ttl=timedelta(seconds=address_ttl_s),
        **values,  # type: ignore[arg-type]
    )
    findings = check_settings(settings)
    for finding in findings:
        click.echo(f"{finding.place}: {finding.message}", err=True)
    if findings:
        sys.exit(2)
    handler = logbook.StreamHandler(sys.stderr, level=logbook.INFO, format_string=log_events.FORMAT)
    with handler.applicationbound():
        trio.run(run_instance, settings)


if __name__ == "__main__":
    main()
