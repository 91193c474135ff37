"""Steps for operator workflows with real processes."""

import json
import subprocess
import sys
import threading
import time
from dataclasses import dataclass, field
from functools import partial

from behave import given, then, when
from behave.runner import Context
from wasabiwell_config import hash_key
from wasabiwell_standins.caller import ChatResult, chat, fetch_addresses, make_messages
from wasabiwell_standins.deployments import DEPLOYMENTS
from wasabiwell_standins.fleet import Fleet, open_fleet, request

ENGINES = 4
CALLERS = 4
PROMPT_MARKER = "roof-over-route-12"
DRAINED_TARGET = "ice-advisor-1"
INVALID_DOCUMENT = b"""{"colour": 1, "model_services": [{"name": "a", "max_prompt_tokens": 0}],
"organisations": [{"name": "b", "key_hashes": ["x"]}], "operators": []}"""


@dataclass(slots=True)
class Load:
    """Callers that send requests until `stop` is called."""

    fleet: Fleet
    key: str
    results: list[ChatResult] = field(default_factory=list)
    stopping: threading.Event = field(default_factory=threading.Event)
    threads: list[threading.Thread] = field(default_factory=list)

    def run(self, number: int) -> None:
        """Fetch addresses before each request, like a caller whose address list has expired."""
        count = 0
        while not self.stopping.is_set():
            count += 1
            entries = [entry for entry in self.fleet.entries if entry.popen.poll() is None]
            address = fetch_addresses(entries[0].address)[count % 2]
            messages = make_messages(1500, f"{PROMPT_MARKER} {number} {count}")
            self.results.append(chat(address, self.key, "ice-advisor", messages, 16))

    def stop(self) -> None:
        """Stop the callers and wait until they have received their responses."""
        self.stopping.set()
        for thread in self.threads:
            thread.join()


def run_command(context: Context, *arguments: str, stdin: bytes = b"", key: str = "") -> None:
    """Run the operator command with the addresses of all entry instances."""
    fleet = context.fleet
    options = [part for entry in fleet.entries for part in ("--entry", entry.address)]
    context.finished = subprocess.run(
        [
            sys.executable,
            "-m",
            "wasabiwell_cli.main",
            *options,
            "--key",
            key or fleet.deployment.operator_key,
            *arguments,
        ],
        input=stdin,
        capture_output=True,
        check=False,
    )


def output(context: Context) -> str:
    """Return the output of the last command."""
    return (context.finished.stdout + context.finished.stderr).decode()


def apply(context: Context, document: dict, *options: str) -> None:
    """Run `apply` with a document on stdin; the caller checks the result."""
    run_command(context, "apply", "-", *options, stdin=json.dumps(document).encode())


def organisation(document: dict) -> dict:
    """Return the organisation that the scenario changes."""
    return next(item for item in document["organisations"] if item["name"] == "lowell-crews")


def prompt_statuses(context: Context, key: str) -> list[int]:
    """Return the HTTP status of a prompt with this key at each entry instance."""
    body = {"model": "ice-advisor", "messages": [{"role": "user", "content": "hello"}]}
    send = partial(request, "POST", path="/v1/chat/completions", value=body)
    headers = {"authorization": f"Bearer {key}"}
    return [send(address=entry.address, headers=headers).status for entry in context.fleet.entries]


def wait_version(context: Context, version: int) -> None:
    """Wait until a version is active at every entry instance."""

    def active_everywhere() -> bool:
        run_command(context, "status", "--json")
        entries = json.loads(context.finished.stdout)["entries"].values()
        return all(entry and entry["configuration_version"] >= version for entry in entries)

    context.fleet.wait_until(active_everywhere, f"version {version}", 8.0)


@given("a deployment of {entries:d} entry instances without a configuration")
def step_deployment(context: Context, entries: int) -> None:
    context.fleet = context.stack.enter_context(open_fleet(DEPLOYMENTS["eaveline"]))
    context.fleet.start_platform()
    for index in range(ENGINES):
        context.fleet.start_engine(index)
    for index in range(entries):
        context.fleet.start_entry(index, "--address-ttl-s", "2")
    printed = subprocess.run(
        [sys.executable, "examples/eaveline.py"], check=True, capture_output=True
    )
    context.example = json.loads(printed.stdout)


@when("the operator checks a file with 3 errors")
def step_check(context: Context) -> None:
    run_command(context, "check", "-", stdin=INVALID_DOCUMENT)


@then("the command exits with code {code:d} and prints {count:d} findings")
def step_exit_code_and_findings(context: Context, code: int, count: int) -> None:
    lines = context.finished.stderr.decode().splitlines()
    assert context.finished.returncode == code, output(context)
    assert len(lines) == count + 1, lines


@when("the operator renders and applies the example")
@when("the operator applies the example again")
def step_example(context: Context) -> None:
    apply(context, context.example)
    assert context.finished.returncode == 0, output(context)


@then('the command prints "{text}"')
def step_prints(context: Context, text: str) -> None:
    assert text in output(context), output(context)


@when("version {version:d} becomes active at every entry instance")
@then("version {version:d} becomes active at every entry instance")
def step_version(context: Context, version: int) -> None:
    wait_version(context, version)


@when("two operators change the weight of one organisation from version 1")
def step_conflicting_changes(context: Context) -> None:
    organisation(context.example)["weight"] = 9.0
    apply(context, context.example, "--base-version", "1")
    context.first_apply = context.finished
    second = json.loads(json.dumps(context.example))
    organisation(second)["weight"] = 2.0
    wait_version(context, 2)
    apply(context, second, "--base-version", "1")


@then('the first change is accepted and the second is a conflict that reports "{path}"')
def step_conflict(context: Context, path: str) -> None:
    assert context.first_apply.returncode == 0, context.first_apply
    assert context.finished.returncode == 3, output(context)
    assert path in output(context), output(context)


@then('the command "{name}" prints "{text}"')
def step_command(context: Context, name: str, text: str) -> None:
    run_command(context, *name.split())
    assert text in output(context), output(context)


@then('the command "diff -" with the example prints "{text}"')
def step_diff(context: Context, text: str) -> None:
    document = json.loads(json.dumps(context.example))
    organisation(document)["weight"] = 4.0
    run_command(context, "diff", "-", stdin=json.dumps(document).encode())
    assert text in output(context), output(context)


@when('the command "{name}" is run with the key "{key}"')
def step_run_with_key(context: Context, name: str, key: str) -> None:
    run_command(context, name, key=key)


@when('the operator adds a second key for "{name}" and then removes the first')
def step_rotate_key(context: Context, name: str) -> None:
    old, context.new_key = f"{name}-key", f"{name}-key-2"
    hashes = [hash_key(old), hash_key(context.new_key)]
    context.statuses = []
    for version, key_hashes in ((3, hashes), (4, hashes[1:])):
        organisation(context.example)["key_hashes"] = key_hashes
        apply(context, context.example)
        assert context.finished.returncode == 0, output(context)
        wait_version(context, version)
        context.statuses.append(
            (prompt_statuses(context, old), prompt_statuses(context, context.new_key))
        )


@then("both keys are valid between the steps, and only the second afterwards")
def step_keys_rotated(context: Context) -> None:
    count = len(context.fleet.entries)
    both, second = [200] * count, [401] * count
    assert context.statuses == [(both, both), (second, both)], context.statuses


@when("callers send requests continuously")
def step_load(context: Context) -> None:
    context.load = Load(context.fleet, "concord-crews-key")
    context.stack.callback(context.load.stop)
    for number in range(CALLERS):
        thread = threading.Thread(target=context.load.run, args=(number,))
        context.load.threads.append(thread)
        thread.start()
    context.fleet.wait_until(lambda: len(context.load.results) > CALLERS, "first responses")


@when("the operator drains a target")
def step_drain(context: Context) -> None:
    run_command(context, "drain", "target", DRAINED_TARGET)
    assert context.finished.returncode == 0, output(context)
    assert "3 entry instances confirmed" in output(context), output(context)


@then("the target gets no new request after 3 seconds")
def step_target_drained(context: Context) -> None:
    time.sleep(3.0)
    run_command(context, "status", "--json")
    entries = json.loads(context.finished.stdout)["entries"].values()
    targets = [item for entry in entries for item in entry["targets"]]
    drained = [item for item in targets if item["target_id"] == DRAINED_TARGET]
    assert [item["leaving"] for item in drained] == [True] * 3, drained
    assert [item["outstanding"] for item in drained] == [0] * 3, drained
    before = len(context.load.results)
    context.fleet.wait_until(lambda: len(context.load.results) > before + 8, "further responses")


@when("the operator drains an entry instance and starts a new one")
def step_replace_entry(context: Context) -> None:
    old = context.fleet.entries[-1]
    run_command(context, "drain", "entry", old.name)
    assert context.finished.returncode == 0, output(context)
    context.fleet.wait_until(lambda: old.popen.poll() is not None, "the entry instance stops")
    assert old.popen.returncode == 0, context.fleet.log(old.name)
    context.fleet.processes.remove(old)
    context.fleet.start_entry(2, "--address-ttl-s", "2")
    wait_version(context, 1)


@then("no request of the callers was aborted or answered wrongly")
def step_no_failed_request(context: Context) -> None:
    context.load.stop()
    failed = [result for result in context.load.results if result.error]
    assert not failed, (len(context.load.results), failed[:3])


@then('the command "status" prints every entry instance and target')
def step_status(context: Context) -> None:
    run_command(context, "status")
    text = output(context)
    for process in (*context.fleet.entries, *context.fleet.processes_with_role("engine")):
        assert process.name in text, (process.name, text)
    assert "\x1b" not in text, text


@then('the command "trace" shows the last request with its target')
def step_trace(context: Context) -> None:
    request_id = context.load.results[-1].request_id
    run_command(context, "trace", request_id)
    assert context.finished.returncode == 0, output(context)
    assert request_id in output(context), output(context)
    assert "ice-advisor-" in output(context), output(context)
    context.trace = output(context)


@then("status, trace and logs contain neither prompts nor keys")
def step_secrets(context: Context) -> None:
    texts = {"status": "", "trace": context.trace}
    run_command(context, "status", "--json")
    texts["status"] = output(context)
    for process in context.fleet.processes:
        if process.role == "entry":
            texts[process.name] = context.fleet.log(process.name)
    secrets = (PROMPT_MARKER, "operations-key", "lowell-crews-key")
    found = [(name, secret) for name, text in texts.items() for secret in secrets if secret in text]
    assert not found, found
    assert all(texts.values()), {name: len(text) for name, text in texts.items()}
