"""Checks of a soak after the last fault."""

from pathlib import Path

import trio

from wasabiwell_standins.users_platform.attempts import Answered
from wasabiwell_standins.users_platform.caller import CallerRequest, Reply
from wasabiwell_standins.users_platform.deployment import Deployment, EntryProcess
from wasabiwell_standins.users_platform.reasons import describe, explain
from wasabiwell_standins.users_platform.soak_history import FaultHistory, SoakReport

SEND_INTERVAL = 0.05
FINAL_LOAD_SECONDS = 2.0
DRAIN_SECONDS = 2.0
"""Required limit: how long after the start of its drain a target may still get new work."""
MAX_RESIDENT_BYTES = 160 * 1024 * 1024
"""A larger resident set of an entry process after a soak counts as a memory leak."""


class FinalChecks:
    """Checks recovery, a final load, and the guarantees that were recorded during the faults."""

    def __init__(self, deployment: Deployment, report: SoakReport, history: FaultHistory) -> None:
        self._deployment = deployment
        self._report = report
        self._history = history

    async def run(self) -> None:
        """Check recovery from the faults, a final load, and the recorded guarantees."""
        deployment = self._deployment
        for entry in deployment.entries:
            check_alive(entry, self._report)
            if not await deployment.is_ready(entry):
                self._report.add_finding(f"{entry.name} is not ready after the last fault")
            if (resident := _resident_bytes(entry)) > MAX_RESIDENT_BYTES:
                self._report.add_finding(f"{entry.name} has a resident set of {resident} bytes")
        for target in deployment.targets.values():
            if target.tokens_held:
                self._report.add_finding(
                    f"{target.target_id} still has KV cache tickets: {target.tickets}"
                )
            if target.running:
                self._report.add_finding(f"{target.target_id} still runs {target.running} requests")
        self._check_drained()
        self._check_attempts()
        await self._send_final_requests()
        self._report.findings += [
            f"guarantee violated: {text}" for text in deployment.ledger.violations()
        ]

    def _check_drained(self) -> None:
        """Check that no request started late on a draining target.

        Requests around a fault of an entry process or the store are exempt.
        """
        runs = [run for found in self._deployment.ledger.runs.values() for run in found]
        for run in runs:
            drained = self._history.drained_at.get(run.target_id)
            if drained is None or run.started_at < drained + DRAIN_SECONDS:
                continue
            if not self._history.is_disturbed(drained, run.started_at):
                late = run.started_at - drained
                self._report.add_finding(
                    f"{run.request_id} started on {run.target_id} {late:.2f} s after its drain"
                )

    def _check_attempts(self) -> None:
        """Count the reasons of attempts without a complete answer, and report those without one."""
        ledger, circumstances = self._deployment.ledger, self._history.circumstances
        for attempt in ledger.attempts:
            self._report.attempts += 1
            if attempt.ending == Answered(200, by_target=True):
                self._report.answered += 1
                continue
            runs = ledger.runs.get(attempt.request_id, [])
            reason = explain(attempt, runs, circumstances)
            if reason is None:
                since = self._report.started_at
                self._report.add_finding(describe(attempt, runs, circumstances, since))
            else:
                self._report.reasons[reason] += 1

    async def _send_final_requests(self) -> None:
        caller = self._deployment.caller()
        replies: list[Reply] = []
        count = round(FINAL_LOAD_SECONDS / SEND_INTERVAL)
        requests = [self._deployment.request(route) for route in ("short", "book", "look") * count][
            :count
        ]

        async def send(request: CallerRequest) -> None:
            replies.append(await caller.send(request))

        async with trio.open_nursery() as nursery:
            for request in requests:
                nursery.start_soon(send, request)
                await trio.sleep(SEND_INTERVAL)
        for reply in replies:
            if reply.status != 200 or not reply.complete:
                self._report.add_finding(
                    f"{reply.request_id} on {reply.request.path} got status {reply.status} "
                    "in the final load"
                )


def check_alive(entry: EntryProcess, report: SoakReport) -> None:
    """Check that an entry process has not exited on its own."""
    if not entry.alive:
        report.add_finding(f"{entry.name} had exited on its own; see its log")


def _resident_bytes(entry: EntryProcess) -> int:
    if entry.process is None or not entry.alive:
        return 0
    text = Path(f"/proc/{entry.process.pid}/status").read_text()
    line = next(line for line in text.splitlines() if line.startswith("VmRSS:"))
    return int(line.split()[1]) * 1024
