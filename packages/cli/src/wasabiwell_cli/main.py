"""Command `wasabiwell`: checks and applies configurations and shows the system's state."""

import sys
from typing import Any

import click
import msgspec
from wasabiwell_config import Configuration, Findings, changed_items, items_of, parse, validate

from wasabiwell_cli.client import AdminClient, Reply, RunningConfiguration, Unreachable

EXIT_INVALID = 2
EXIT_CONFLICT = 3
EXIT_UNREACHABLE = 4
EXIT_BY_STATUS = {409: EXIT_CONFLICT, 422: EXIT_INVALID, 503: EXIT_UNREACHABLE}


@click.group(context_settings={"auto_envvar_prefix": "WASABIWELL"})
@click.option("--entry", multiple=True, help="HOST:PORT of an entry instance; repeat for more.")
@click.option("--key", default="", help="Operator key.")
@click.pass_context
def main(context: click.Context, entry: tuple[str, ...], key: str) -> None:
    """Operate a deployment of wasabiwell."""
    context.obj = AdminClient(entry, key)


@main.command()
@click.argument("file", type=click.File("r"))
def check(file: Any) -> None:
    """Check a configuration file and print all findings."""
    _load(file.read())
    click.echo("the configuration is valid")


@main.command()
@click.argument("file", type=click.File("r"))
@click.pass_obj
def apply(client: AdminClient, file: Any) -> None:
    """Put a configuration file in force."""
    wanted = items_of(_load(file.read()))
    running = _running(client)
    changes = changed_items(running.encoded_items(), wanted)
    if not changes:
        click.echo(f"version {running.version} is the same")
        return
    body = {
        "base_version": running.version,
        "changes": {
            path: None if value is None else msgspec.Raw(value) for path, value in changes.items()
        },
    }
    reply = _answered(client.send("POST", "configuration", msgspec.json.encode(body)))
    answer = msgspec.json.decode(reply.body)
    click.echo(msgspec.json.format(reply.body).decode(), err=reply.status != 200)
    if reply.status != 200:
        sys.exit(EXIT_BY_STATUS.get(reply.status, 1))
    click.echo(f"version {answer['version']} is accepted, {len(changes)} items changed")


@main.command()
@click.pass_obj
def status(client: AdminClient) -> None:
    """Print the state of the first entry instance that answers."""
    reply = _answered(client.send("GET", "status"))
    click.echo(msgspec.json.format(reply.body).decode())


def _load(text: str) -> Configuration:
    parsed = parse(text)
    match parsed:
        case Findings(findings=findings):
            pass
        case configuration:
            findings = validate(configuration)
            if not findings:
                return configuration
    for finding in findings:
        click.echo(str(finding), err=True)
    sys.exit(EXIT_INVALID)


def _running(client: AdminClient) -> RunningConfiguration:
    reply = _answered(client.send("GET", "configuration"))
    if reply.status != 200:
        click.echo(reply.body.decode(), err=True)
        sys.exit(EXIT_BY_STATUS.get(reply.status, 1))
    return msgspec.json.decode(reply.body, type=RunningConfiguration)


def _answered(outcome: Reply | Unreachable) -> Reply:
    match outcome:
        case Reply() as reply:
            return reply
        case Unreachable(reason=reason):
            click.echo(f"no entry instance answered: {reason}", err=True)
            sys.exit(EXIT_UNREACHABLE)


if __name__ == "__main__":
    main()
