"""Steps for traces and metrics, with a real entry instance and a receiver stand-in."""

import json
from dataclasses import replace

from behave import given, then, when
from behave.runner import Context
from support.recording_target import recording_target
from wasabiwell_standins.deployments import EAVELINE
from wasabiwell_standins.fleet import HOST, Fleet, free_ports, open_fleet, request

TRACE_ID = "0af7651916cd43dd8448eb211c80319c"
PARENT_ID = "b7ad6b7169203331"
PROMPT = "gutter-inspection-7"
KEY = "lowell-crews-key"


def start(context: Context, otlp_address: str) -> None:
    """Start a small deployment that exports its telemetry every second."""
    fleet: Fleet = context.fleet
    context.target = context.stack.enter_context(recording_target())
    fleet.start_platform()
    for index in range(2):
        fleet.start_engine(index)
    record = {"instance_id": "recorder", "role": "plain", "service": "crew-desk"}
    record |= {"address": context.target.address, "peer_address": "", "region": "new-england"}
    request("PUT", fleet.platform.address, "/instances/recorder", {**record, "zone": "merrimack"})
    endpoint = f"http://{otlp_address}"
    fleet.start_entry(0, "--otlp-endpoint", endpoint, "--otlp-interval-s", "1")
    fleet.apply_example()
    fleet.wait_ready()


def status(context: Context) -> dict:
    """Return the status of the entry instance."""
    headers = {"authorization": f"Bearer {EAVELINE.operator_key}"}
    address = context.fleet.entries[0].address
    return json.loads(request("GET", address, "/admin/v1/status", headers=headers).content)


def received(context: Context) -> dict:
    """Return the telemetry that the receiver got."""
    return json.loads(request("GET", context.receiver.address, "/received").content)


def total(metrics: dict, name: str, **labels: str) -> int:
    """Return the sum of a metric's data points that have the given labels."""
    metric = metrics.get(name, {})
    points = (metric.get("sum") or metric.get("gauge") or {}).get("dataPoints", [])
    result = 0
    for point in points:
        attributes = {
            item["key"]: item["value"]["stringValue"] for item in point.get("attributes", [])
        }
        if labels.items() <= attributes.items():
            result += int(point["asInt"])
    return result


@given("an entry instance that exports to a receiver")
def step_receiver(context: Context) -> None:
    context.fleet = context.stack.enter_context(open_fleet(replace(EAVELINE, entries=1)))
    address = f"{HOST}:{free_ports()[0]}"
    context.receiver = context.fleet.start_module(
        "otlp", "otlp", address, "wasabiwell_standins.otlp", ["--address", address]
    )
    start(context, address)


@given("an entry instance that exports to an address without a listener")
def step_no_listener(context: Context) -> None:
    context.fleet = context.stack.enter_context(open_fleet(replace(EAVELINE, entries=1)))
    start(context, f"{HOST}:{free_ports()[0]}")


@when("a caller sends {prompts:d} prompts and {bookings:d} bookings with a trace context")
def step_send(context: Context, prompts: int, bookings: int) -> None:
    address = context.fleet.entries[0].address
    headers = {
        "authorization": f"Bearer {KEY}",
        "traceparent": f"00-{TRACE_ID}-{PARENT_ID}-01",
    }
    body = {"model": "ice-advisor", "messages": [{"role": "user", "content": PROMPT}]}
    for _ in range(prompts):
        reply = request("POST", address, "/v1/chat/completions", body, headers)
        assert reply.status == 200, reply.content
    for number in range(bookings):
        booking = {**headers, "idempotency-key": f"b-{number}"}
        reply = request("POST", address, "/v1/services/crew-desk/bookings", {}, booking)
        assert reply.status == 201, reply.content


@then('the receiver gets the spans "{names}" in the caller\'s trace')
def step_spans(context: Context, names: str) -> None:
    def in_trace() -> set[str]:
        spans = received(context)["spans"]
        return {span["name"] for span in spans if span["trace_id"] == TRACE_ID}

    expected = set(names.split(", "))
    context.fleet.wait_until(lambda: expected <= in_trace(), f"{expected}")
    spans = [span for span in received(context)["spans"] if span["trace_id"] == TRACE_ID]
    roots = {span["span_id"] for span in spans if span["name"] == "POST request"}
    parents = {span["parent_span_id"] for span in spans if span["name"] == "POST request"}
    assert parents == {PARENT_ID}, parents
    attempts = [span for span in spans if span["name"] == "engine attempt"]
    assert len(attempts) == 3, attempts
    assert {span["parent_span_id"] for span in attempts} <= roots, attempts


@then("the plain target received the caller's trace with the span of its call")
def step_target(context: Context) -> None:
    def calls() -> set[str]:
        spans = received(context)["spans"]
        return {span["span_id"] for span in spans if span["name"] == "plain call"}

    sent = [item["traceparent"].split("-")[1:3] for item in context.target.headers]
    assert [trace_id for trace_id, _ in sent] == [TRACE_ID] * 2, sent
    expected = {span_id for _, span_id in sent}
    context.fleet.wait_until(lambda: calls() == expected, f"spans {expected} of the calls")


@then("requests, tokens, retries and the configuration version are the same in metrics and status")
def step_metrics_equal_status(context: Context) -> None:
    def metrics_equal_status() -> bool:
        report, metrics = status(context), received(context)["metrics"].get("entry-0", {})
        counted = {(item["kind"], item["outcome"], item["run"]) for item in report["requests"]}
        equal = [
            total(metrics, "wasabiwell.requests", kind=kind, outcome=outcome, run=run)
            == sum(
                item["count"]
                for item in report["requests"]
                if (item["kind"], item["outcome"], item["run"]) == (kind, outcome, run)
            )
            for kind, outcome, run in counted
        ]
        for name, field in (
            ("wasabiwell.tokens.relayed", "tokens_relayed"),
            ("wasabiwell.retries", "retries"),
            ("wasabiwell.configuration.version", "configuration_version"),
            ("wasabiwell.streams.open", "open_streams"),
        ):
            equal.append(total(metrics, name) == report[field])
        return all(equal) and ("generate", "ok", "ran") in counted and report["tokens_relayed"] > 0

    context.fleet.wait_until(metrics_equal_status, "metrics and status agree", 10.0)


@then('the histograms "{names}" count {count:d} prompts')
def step_histograms(context: Context, names: str, count: int) -> None:
    metrics = received(context)["metrics"]["entry-0"]
    for name in names.split(", "):
        points = metrics[name]["histogram"]["dataPoints"]
        assert sum(int(point["count"]) for point in points) == count, points
        assert metrics[name]["unit"] in ("s", "1"), metrics[name]


@then("neither exported data nor logs contain the prompt or a key")
def step_secrets(context: Context) -> None:
    texts = json.dumps(received(context)) + context.fleet.log("entry-0")
    assert "entry-0" in texts
    leaked = [secret for secret in (PROMPT, KEY, EAVELINE.operator_key) if secret in texts]
    assert not leaked, leaked


@then("the log has event {number:d}")
def step_event(context: Context, number: int) -> None:
    text = f'"event":{number},'
    context.fleet.wait_until(lambda: text in context.fleet.log("entry-0"), "the event")
