"""Entry point of the command `wasabiwell`."""

import ipaddress
import ssl
from pathlib import Path

import click

from wasabiwell_cli.client import AdminClient
from wasabiwell_cli.commands.addresses import addresses
from wasabiwell_cli.commands.apply import apply
from wasabiwell_cli.commands.check import check
from wasabiwell_cli.commands.completion import completion
from wasabiwell_cli.commands.diff import diff
from wasabiwell_cli.commands.drain import drain
from wasabiwell_cli.commands.evacuate import evacuate
from wasabiwell_cli.commands.history import history
from wasabiwell_cli.commands.quarantine import quarantine
from wasabiwell_cli.commands.show import show
from wasabiwell_cli.commands.status import status
from wasabiwell_cli.commands.trace import trace
from wasabiwell_cli.const import EXIT_CODES

COMMANDS = (
    addresses,
    apply,
    check,
    completion,
    diff,
    drain,
    evacuate,
    history,
    quarantine,
    show,
    status,
    trace,
)
EPILOG = "\b\nExit codes:\n" + "\n".join(f"  {code}  {text}" for code, text in EXIT_CODES)


def _validate_addresses(
    context: click.Context, parameter: click.Parameter, value: tuple[str, ...]
) -> tuple[str, ...]:
    for address in value:
        host, _, port = address.rpartition(":")
        try:
            ipaddress.ip_address(host.strip("[]"))
        except ValueError:
            raise click.BadParameter(f"{address!r} is not IP:PORT") from None
        if not port.isdecimal() or not 0 < int(port) < 65_536:
            raise click.BadParameter(f"{address!r} is not IP:PORT")
    return value


@click.group(
    epilog=EPILOG,
    context_settings={
        "auto_envvar_prefix": "WASABIWELL",
        "max_content_width": 100,
    },
)
@click.version_option(package_name="wasabiwell-cli", prog_name="wasabiwell")
@click.option(
    "--entry",
    multiple=True,
    callback=_validate_addresses,
    show_envvar=True,
    help="IP:PORT of an entry instance; can be given several times, tried in order.",
)
@click.option("--key", default="", show_envvar=True, help="Operator key.")
@click.option(
    "--key-file",
    type=click.Path(exists=True, dir_okay=False, path_type=Path),
    show_envvar=True,
    help="File with the operator key; unlike --key, it does not appear in process lists.",
)
@click.option(
    "--ca",
    type=click.Path(exists=True, dir_okay=False),
    show_envvar=True,
    help="PEM file with the CAs of the entry instances' certificates; enables HTTPS.",
)
@click.pass_context
def main(
    context: click.Context, entry: tuple[str, ...], key: str, key_file: Path | None, ca: str | None
) -> None:
    """Operate a wasabiwell deployment."""
    if key_file is not None:
        key = key_file.read_text().strip()
    if not key.isascii():
        raise click.BadParameter("must be ASCII", param_hint="--key")
    context.obj = AdminClient(entry, key, _tls_context(ca))


def _tls_context(ca: str | None) -> ssl.SSLContext | None:
    if ca is None:
        return None
    try:
        return ssl.create_default_context(cafile=ca)
    except (OSError, ssl.SSLError) as error:
        raise click.BadParameter(f"{ca} has no certificates: {error}", param_hint="--ca") from None


for command in COMMANDS:
    main.add_command(command)


if __name__ == "__main__":
    main(prog_name="wasabiwell")
