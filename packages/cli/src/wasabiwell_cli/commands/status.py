"""Command `status`."""

from typing import Any

import click

from wasabiwell_cli.client import AdminClient, Reply
from wasabiwell_cli.fleet import send_to_all
from wasabiwell_cli.options import json_option
from wasabiwell_cli.output import BAD, GOOD, WARN, coloured, print_json, print_table

MEMBER_COLOURS = {"alive": GOOD, "suspect": WARN, "leaving": WARN, "dead": BAD}


@click.command()
@json_option
@click.pass_obj
def status(client: AdminClient, as_json: bool) -> None:
    """Show entries, targets, queues, credits and suspects.

    Members and targets are shown as the first answering entry instance sees them; the figures of
    the entries come from each of them.
    """
    first = client.read("status")
    reports = _reports(client, first)
    if as_json:
        print_json({"seen_by": first["node_id"], "entries": reports, "targets": first["targets"]})
        return
    click.echo(
        f"seen by {first['node_id']}, configuration version {first['configuration_version']}"
    )
    _print_entries(first, reports)
    _print_targets(first)
    _print_queues(reports)
    _print_credits(reports)
    _print_suspects(first)


def _reports(client: AdminClient, first: dict[str, Any]) -> dict[str, dict[str, Any] | None]:
    """Return the report of each member by node id; None when it did not answer."""
    others = {
        member["caller_address"]: member["node_id"]
        for member in first["members"]
        if member["node_id"] != first["node_id"]
    }
    reports: dict[str, dict[str, Any] | None] = {first["node_id"]: first}
    for address, outcome in send_to_all(client, list(others), "GET", "status"):
        match outcome:
            case Reply(status=200) as reply:
                reports[others[address]] = reply.value()
            case _:
                reports[others[address]] = None
    return dict(sorted(reports.items()))


def _print_entries(first: dict[str, Any], reports: dict[str, dict[str, Any] | None]) -> None:
    rows = []
    for member in sorted(first["members"], key=lambda item: str(item["node_id"])):
        report = reports.get(member["node_id"])
        state = coloured(member["status"], MEMBER_COLOURS.get(member["status"], BAD))
        row = [member["node_id"], member["zone"], member["caller_address"], state]
        if report is None:
            row += [coloured("no answer", BAD), None, None, None, None]
        else:
            ready = coloured("yes", GOOD) if report["ready"] else coloured("no", WARN)
            row += [ready, report["configuration_version"], report["open_requests"]]
            row += [report["tokens_relayed"], report["retries"]]
        rows.append(row)
    headings = (
        "ENTRY",
        "ZONE",
        "ADDRESS",
        "STATE",
        "READY",
        "VERSION",
        "OPEN",
        "TOKENS",
        "RETRIES",
    )
    click.echo()
    print_table(headings, rows)


def _print_targets(first: dict[str, Any]) -> None:
    rows = []
    for target in sorted(first["targets"], key=lambda item: str(item["target_id"])):
        state = coloured("up", GOOD)
        if target["leaving"]:
            state = coloured("leaving", WARN)
        if target["lost"]:
            state = coloured("lost", BAD)
        row = [target["target_id"], target["service"], target["zone"], state]
        row += [target["owner"] or None, target["outstanding"], target["running"]]
        rows.append([*row, target["queued"], target["free_tokens"]])
    headings = ("TARGET", "SERVICE", "ZONE", "STATE", "OWNER", "OURS", "RUNNING", "QUEUED", "FREE")
    click.echo()
    print_table(headings, rows)


def _print_queues(reports: dict[str, dict[str, Any] | None]) -> None:
    rows = [
        (node_id, queue["size"], queue["waiting"], f"{queue['oldest_wait_s']:.3f}")
        for node_id, report in reports.items()
        for queue in (report and report["queues"]) or ()
    ]
    if rows:
        click.echo()
        print_table(("ENTRY", "QUEUE", "WAITING", "OLDEST, S"), rows)


def _print_credits(reports: dict[str, dict[str, Any] | None]) -> None:
    rows = [
        (node_id, credit["engine_id"], credit["role"], credit["slots"], credit["tokens"])
        for node_id, report in reports.items()
        for credit in (report and report["credits"]) or ()
    ]
    if rows:
        click.echo()
        print_table(("ENTRY", "CREDIT OF", "AS", "SLOTS", "TOKENS"), rows)


def _print_suspects(first: dict[str, Any]) -> None:
    rows = [
        (
            suspect["fingerprint"],
            coloured("quarantined", BAD) if suspect["quarantined"] else "suspect",
            ", ".join(suspect["targets"]),
        )
        for suspect in first["suspects"] or ()
    ]
    if rows:
        click.echo()
        print_table(("FINGERPRINT", "STATE", "TARGETS"), rows)
