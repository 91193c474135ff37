"""Steps of an operator's day with real processes."""

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
PROMPT_MARK = "roof-over-route-12"
DRAINED = "ice-advisor-1"
MISTAKES = b"""{"colour": 1, "model_services": [{"name": "a", "max_prompt_tokens": 0}],
"organisations": [{"name": "b", "key_hashes": ["x"]}], "operators": []}"""


@dataclass(slots=True)
class Load:
    """Callers that send requests until they are stopped."""

    fleet: Fleet
    key: str
    results: list[ChatResult] = field(default_factory=list)
    stopping: threading.Event = field(default_factory=threading.Event)
    threads: list[threading.Thread] = field(default_factory=list)

    def run(self, number: int) -> None:
        """Ask for addresses before each request, as a caller does whose answer has expired."""
        count = 0
        while not self.stopping.is_set():
            count += 1
            entries = [entry for entry in self.fleet.entries if entry.popen.poll() is None]
            address = fetch_addresses(entries[0].address)[count % 2]
            messages = make_messages(1500, f"{PROMPT_MARK} {number} {count}")
            self.results.append(chat(address, self.key, "ice-advisor", messages, 16))

    def stop(self) -> None:
        """Wait until all callers have their answers."""
        self.stopping.set()
        for thread in self.threads:
            thread.join()


def command(context: Context, *arguments: str, stdin: bytes = b"", key: str = "") -> None:
    """Run the operators' command against all entry instances."""
    fleet = context.fleet
    entries = [part for entry in fleet.entries for part in ("--entry", entry.address)]
    context.finished = subprocess.run(
        [
            sys.executable,
            "-m",
            "wasabiwell_cli.main",
            *entries,
            "--key",
            key or fleet.deployment.operator_key,
            *arguments,
        ],
        input=stdin,
        capture_output=True,
        check=False,
    )


def output(context: Context) -> str:
    """Return what the last command printed."""
    return (context.finished.stdout + context.finished.stderr).decode()


def apply(context: Context, document: dict, *options: str) -> None:
    """Apply a document, which must be accepted unless options say otherwise."""
    command(context, "apply", "-", *options, stdin=json.dumps(document).encode())


def organisation(document: dict) -> dict:
    """Return the organisation whose rules the scenario changes."""
    return next(item for item in document["organisations"] if item["name"] == "lowell-crews")


def works(context: Context, key: str) -> list[int]:
    """Return the status of a prompt with this key at each entry instance."""
    body = {"model": "ice-advisor", "messages": [{"role": "user", "content": "hello"}]}
    send = partial(request, "POST", path="/v1/chat/completions", value=body)
    headers = {"authorization": f"Bearer {key}"}
    return [send(address=entry.address, headers=headers).status for entry in context.fleet.entries]


def wait_version(context: Context, version: int) -> None:
    """Wait until every entry instance has a version in force."""

    def reached() -> bool:
        command(context, "status", "--json")
        entries = json.loads(context.finished.stdout)["entries"].values()
        return all(entry and entry["configuration_version"] >= version for entry in entries)

    context.fleet.wait_until(reached, f"version {version}", 8.0)


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


@when("the operator checks a file with 3 mistakes")
def step_check(context: Context) -> None:
    command(context, "check", "-", stdin=MISTAKES)


@then("the command ends with code {code:d} and names {count:d} findings")
def step_code(context: Context, code: int, count: int) -> None:
    lines = context.finished.stderr.decode().splitlines()
    assert context.finished.returncode == code, output(context)
    assert len(lines) == count + 1, lines


@when("the operator prints and applies the example")
@when("the operator applies the example again")
def step_example(context: Context) -> None:
    apply(context, context.example)
    assert context.finished.returncode == 0, output(context)


@then('the command prints "{text}"')
def step_prints(context: Context, text: str) -> None:
    assert text in output(context), output(context)


@when("every entry instance comes into force with version {version:d}")
@then("every entry instance comes into force with version {version:d}")
def step_version(context: Context, version: int) -> None:
    wait_version(context, version)


@when("two operators change the weight of one organisation from version 1")
def step_two(context: Context) -> None:
    organisation(context.example)["weight"] = 9.0
    apply(context, context.example, "--base-version", "1")
    context.first = context.finished
    second = json.loads(json.dumps(context.example))
    organisation(second)["weight"] = 2.0
    wait_version(context, 2)
    apply(context, second, "--base-version", "1")


@then('the first change is accepted and the second is a conflict that names "{path}"')
def step_conflict(context: Context, path: str) -> None:
    assert context.first.returncode == 0, context.first
    assert context.finished.returncode == 3, output(context)
    assert path in output(context), output(context)


@then('the command "{name}" prints "{text}"')
def step_command(context: Context, name: str, text: str) -> None:
    command(context, *name.split())
    assert text in output(context), output(context)


@then('the command "diff -" with the example prints "{text}"')
def step_diff(context: Context, text: str) -> None:
    document = json.loads(json.dumps(context.example))
    organisation(document)["weight"] = 4.0
    command(context, "diff", "-", stdin=json.dumps(document).encode())
    assert text in output(context), output(context)


@when('the command "{name}" is run with the key "{key}"')
def step_key(context: Context, name: str, key: str) -> None:
    command(context, name, key=key)


@when('the operator adds a second key for "{name}" and then removes the first')
def step_roll_key(context: Context, name: str) -> None:
    old, context.new_key = f"{name}-key", f"{name}-key-2"
    hashes = [hash_key(old), hash_key(context.new_key)]
    context.statuses = []
    for version, kept in ((3, hashes), (4, hashes[1:])):
        organisation(context.example)["key_hashes"] = kept
        apply(context, context.example)
        assert context.finished.returncode == 0, output(context)
        wait_version(context, version)
        context.statuses.append((works(context, old), works(context, context.new_key)))


@then("both keys work between the steps, and only the second works afterwards")
def step_rolled(context: Context) -> None:
    count = len(context.fleet.entries)
    both, second = [200] * count, [401] * count
    assert context.statuses == [(both, both), (second, both)], context.statuses


@when("callers send requests without a pause")
def step_load(context: Context) -> None:
    context.load = Load(context.fleet, "concord-crews-key")
    context.stack.callback(context.load.stop)
    for number in range(CALLERS):
        thread = threading.Thread(target=context.load.run, args=(number,))
        context.load.threads.append(thread)
        thread.start()
    context.fleet.wait_until(lambda: len(context.load.results) > CALLERS, "first answers")


@when("the operator drains a target")
def step_drain(context: Context) -> None:
    command(context, "drain", "target", DRAINED)
    assert context.finished.returncode == 0, output(context)
    assert "3 entry instances confirmed" in output(context), output(context)


@then("the target gets no new request after 3 seconds")
def step_no_request(context: Context) -> None:
    time.sleep(3.0)
    command(context, "status", "--json")
    entries = json.loads(context.finished.stdout)["entries"].values()
    targets = [item for entry in entries for item in entry["targets"]]
    drained = [item for item in targets if item["target_id"] == DRAINED]
    assert [item["leaving"] for item in drained] == [True] * 3, drained
    assert [item["outstanding"] for item in drained] == [0] * 3, drained
    before = len(context.load.results)
    context.fleet.wait_until(lambda: len(context.load.results) > before + 8, "further answers")


@when("the operator drains an entry instance and starts it anew")
def step_roll_entry(context: Context) -> None:
    old = context.fleet.entries[-1]
    command(context, "drain", "entry", old.name)
    assert context.finished.returncode == 0, output(context)
    context.fleet.wait_until(lambda: old.popen.poll() is not None, "the entry instance stops")
    assert old.popen.returncode == 0, context.fleet.log(old.name)
    context.fleet.processes.remove(old)
    context.fleet.start_entry(2, "--address-ttl-s", "2")
    wait_version(context, 1)


@then("no request of the callers was cut off or wrong")
def step_whole(context: Context) -> None:
    context.load.stop()
    wrong = [result for result in context.load.results if result.error]
    assert not wrong, (len(context.load.results), wrong[:3])


@then('the command "status" prints every entry instance and target')
def step_status(context: Context) -> None:
    command(context, "status")
    text = output(context)
    for process in (*context.fleet.entries, *context.fleet.processes_with_role("engine")):
        assert process.name in text, (process.name, text)
    assert "\x1b" not in text, text


@then('the command "trace" shows the last request with its target')
def step_trace(context: Context) -> None:
    request_id = context.load.results[-1].request_id
    command(context, "trace", request_id)
    assert context.finished.returncode == 0, output(context)
    assert request_id in output(context), output(context)
    assert "ice-advisor-" in output(context), output(context)
    context.trace = output(context)


@then("status and the records name neither prompts nor keys")
def step_secrets(context: Context) -> None:
    texts = {"status": "", "trace": context.trace}
    command(context, "status", "--json")
    texts["status"] = output(context)
    for process in context.fleet.processes:
        if process.role == "entry":
            texts[process.name] = context.fleet.log(process.name)
    secrets = (PROMPT_MARK, "operations-key", "lowell-crews-key")
    found = [(name, secret) for name, text in texts.items() for secret in secrets if secret in text]
    assert not found, found
    assert all(texts.values()), {name: len(text) for name, text in texts.items()}
