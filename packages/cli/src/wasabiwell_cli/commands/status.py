"""Subcommand `status`."""

from typing import Any

import click

from wasabiwell_cli.client import AdminClient, AdminResponse
from wasabiwell_cli.fleet import send_to_all
from wasabiwell_cli.options import json_option
from wasabiwell_cli.output import (
    GREEN,
    RED,
    YELLOW,
    coloured,
    print_json,
    print_table,
)

MEMBER_COLOURS = {
    "alive": GREEN,
    "suspect": YELLOW,
    "leaving": YELLOW,
    "dead": RED,
}


@click.command()
@json_option
@click.pass_obj
def status(client: AdminClient, as_json: bool) -> None:
    """Show entry instances, targets, queues, credits and suspects.

    Members, targets and suspects are shown as known to the first entry instance that responds;
    queues, credits and the figures of entry instances come from each of them.
    """
    first_report = client.get_json("status")
    reports = _fetch_reports(client, first_report)
    if as_json:
        print_json(
            {
                "seen_by": first_report["node_id"],
                "entries": reports,
                "targets": first_report["targets"],
            }
        )
        return
    click.echo(
        f"seen by {first_report['node_id']},"
        f" configuration version {first_report['configuration_version']}"
    )
    if zones := first_report.get("evacuated_zones"):
        click.echo(f"evacuated zones: {coloured(', '.join(zones), YELLOW)}")
    _print_entries(first_report, reports)
    _print_targets(first_report)
    _print_queues(reports)
    _print_credits(reports)
    _print_suspects(first_report)


def _fetch_reports(
    client: AdminClient, first_report: dict[str, Any]
) -> dict[str, dict[str, Any] | None]:
    """Return the status report of each member by node id; None if it did not respond."""
    node_ids = {
        member["caller_address"]: member["node_id"]
        for member in first_report["members"]
        if member["node_id"] != first_report["node_id"]
    }
    reports: dict[str, dict[str, Any] | None] = {first_report["node_id"]: first_report}
    for address, outcome in send_to_all(client, list(node_ids), "GET", "status"):
        match outcome:
            case AdminResponse(status=200) as response:
                reports[node_ids[address]] = response.json()
            case _:
                reports[node_ids[address]] = None
    return dict(sorted(reports.items()))


def _print_entries(first_report: dict[str, Any], reports: dict[str, dict[str, Any] | None]) -> None:
    rows = []
    for member in sorted(first_report["members"], key=lambda item: str(item["node_id"])):
        report = reports.get(member["node_id"])
        state = coloured(member["status"], MEMBER_COLOURS.get(member["status"], RED))
        row = [member["node_id"], member["zone"], member["caller_address"], state]
        if report is None:
            row += [coloured("no answer", RED), None, None, None, None]
        else:
            ready = coloured("yes", GREEN) if report["ready"] else coloured("no", YELLOW)
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


def _print_targets(first_report: dict[str, Any]) -> None:
    rows = []
    for target in sorted(first_report["targets"], key=lambda item: str(item["target_id"])):
        state = coloured("up", GREEN)
        if target["leaving"]:
            state = coloured("leaving", YELLOW)
        if target["lost"]:
            state = coloured("lost", RED)
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


def _print_suspects(first_report: dict[str, Any]) -> None:
    rows = [
        (
            suspect["fingerprint"],
            coloured("quarantined", RED) if suspect["quarantined"] else "suspect",
            ", ".join(suspect["targets"]),
        )
        for suspect in first_report["suspects"] or ()
    ]
    if rows:
        click.echo()
        print_table(("FINGERPRINT", "STATE", "TARGETS"), rows)
