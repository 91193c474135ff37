"""Command `wasabiwell-entry`: runs an entry instance."""

import sys
from functools import partial

import click
import trio

from wasabiwell_entry.coordination.addresses.const import DEFAULT_ADDRESS_TTL
from wasabiwell_entry.coordination.lifecycle.const import DEFAULT_DRAIN_LIMIT
from wasabiwell_entry.coordination.routing.policies import DEFAULT_POLICY
from wasabiwell_entry.instance import run_instance
from wasabiwell_entry.options import CollectedOption, collected_findings
from wasabiwell_entry.settings import Settings, check_settings, duration
from wasabiwell_entry.transport.logs.lines import LineBuffer
from wasabiwell_entry.transport.logs.writer import open_line_writer

EXIT_BAD_SETTINGS = 2
PLACEHOLDERS = {"text": "", "integer": 1, "float": 1.0}
"""Replace values that already have a finding, so that the other settings can be checked too."""

option = partial(click.option, cls=CollectedOption, show_envvar=True)


@click.command(
    context_settings={
        "auto_envvar_prefix": "WASABIWELL",
        "show_default": True,
        "max_content_width": 100,
    }
)
@click.version_option(package_name="wasabiwell-entry", prog_name="wasabiwell-entry")
@option("--node-id", required=True, help="Id of this entry instance, unique in a deployment.")
@option("--region", required=True, help="Region of this entry instance.")
@option("--zone", required=True, help="Availability zone of this entry instance.")
@option("--caller-address", required=True, help="HOST:PORT for callers and operators.")
@option("--peer-address", required=True, help="HOST:PORT for other entry instances.")
@option("--table-url", required=True, help="URL of the platform's table service.")
@option("--object-url", required=True, help="URL of the platform's object store.")
@option("--instance-url", required=True, help="URL of the platform's instance list.")
@option("--max-body-bytes", default=16 * 1024 * 1024, help="Largest request body, in bytes.")
@option(
    "--buffer-mb",
    default=256.0,
    help="Largest number of bytes that are buffered for all callers together, in MB.",
)
@option(
    "--file-descriptors",
    default=0,
    help="Descriptors of the process, a count that bounds the connections; 0: what the system "
    "allows.",
)
@option("--body-timeout-s", default=30.0, help="Timeout for receiving a request body, in seconds.")
@option(
    "--address-ttl-s",
    default=DEFAULT_ADDRESS_TTL.total_seconds(),
    help="Time for which callers cache addresses, in seconds.",
)
@option(
    "--bootstrap-key-hash",
    default="",
    help="SHA-256 hash of a key that gives access to the operators' interface while no operator "
    "key is configured; without it, only loopback callers have access then.",
)
@option("--policy", default=DEFAULT_POLICY, help="Policy for choosing engines.")
@option(
    "--drain-limit-s",
    default=DEFAULT_DRAIN_LIMIT.total_seconds(),
    help="Time after which a graceful stop aborts open requests, in seconds.",
)
@option(
    "--peer-listen",
    default="",
    help="HOST:PORT to listen on for other entry instances, when it differs from the "
    "--peer-address to which they connect.",
)
@option(
    "--seed",
    "seeds",
    multiple=True,
    help="Peer address HOST:PORT of a running entry instance, for a start without the instance "
    "list; can be repeated.",
)
@option(
    "--weight-loads",
    default=120,
    help="Loads per 10 seconds that the weight store allows for the whole deployment.",
)
@option("--otlp-endpoint", default="", help="URL of an OTLP receiver; empty: no traces or metrics.")
@option("--otlp-interval-s", default=10.0, help="Time between exports of metrics, in seconds.")
@option("--otlp-sample-ratio", default=1.0, help="Share of new traces that are recorded, 0 to 1.")
@option("--tls-certificate", default="", help="PEM file; turns on TLS for callers and operators.")
@option("--tls-key", default="", help="PEM file with the key of --tls-certificate.")
@option("--peer-tls-certificate", default="", help="PEM file; turns on mutual TLS between entries.")
@option("--peer-tls-key", default="", help="PEM file with the key of --peer-tls-certificate.")
@option("--peer-tls-ca", default="", help="PEM file with the issuers of the entries' certificates.")
@option("--target-ca", default="", help="PEM file with the targets' issuers; turns on https.")
@option("--platform-ca", default="", help="PEM file with the issuers of the platform's services.")
@click.pass_context
def main(context: click.Context, /, **values: object) -> None:
    """Run an entry instance of wasabiwell.

    Hosts are IP addresses. Exit codes: 0 after a graceful stop, 2 for errors in the settings.
    """
    findings = collected_findings(context)
    reported = {finding.place for finding in findings}
    settings = _settings(context, values)
    findings += [finding for finding in check_settings(settings) if finding.place not in reported]
    for finding in findings:
        click.echo(f"{finding.place}: {finding.message}", err=True)
    if findings:
        sys.exit(EXIT_BAD_SETTINGS)
    buffer = LineBuffer(settings.node_id)
    with buffer.applicationbound():
        trio.run(_run, settings, buffer)


async def _run(settings: Settings, buffer: LineBuffer) -> None:
    async with open_line_writer(buffer, sys.stdout.fileno()):
        await run_instance(settings)


def _settings(context: click.Context, values: dict[str, object]) -> Settings:
    fields: dict[str, object] = {}
    for parameter in context.command.params:
        if parameter.name is None or parameter.name not in values:
            continue
        value = values[parameter.name]
        if value is None:
            value = PLACEHOLDERS[parameter.type.name]
        if parameter.name.endswith("_s") and isinstance(value, float):
            fields[parameter.name.removesuffix("_s")] = duration(value)
        else:
            fields[parameter.name] = value
    return Settings(**fields)  # type: ignore[arg-type]


if __name__ == "__main__":
    main()
