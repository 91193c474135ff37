"""Command-line options that collect all errors instead of stopping at the first one."""

from collections.abc import Mapping
from typing import Any

import click

from wasabiwell_entry.state.outcomes import Finding

FINDINGS = "wasabiwell_entry.findings"


class CollectedOption(click.Option):
    """An option that records a missing or malformed value in the context and continues."""

    def handle_parse_result(
        self, ctx: click.Context, opts: Mapping[str, Any], args: list[str]
    ) -> tuple[Any, list[str]]:
        """Return the value, or None after recording a finding."""
        try:
            return super().handle_parse_result(ctx, opts, args)
        except click.MissingParameter:
            finding = Finding(self.opts[0], "is missing")
        except click.BadParameter as error:
            finding = Finding(self.opts[0], error.message)
        ctx.meta.setdefault(FINDINGS, []).append(finding)
        ctx.params[self.name or ""] = None
        return None, args


def collected_findings(context: click.Context) -> list[Finding]:
    """Return the findings that were recorded while parsing the command line."""
    findings: list[Finding] = context.meta.get(FINDINGS, [])
    return findings
