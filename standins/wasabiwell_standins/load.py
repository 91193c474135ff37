"""Load generator: sends the requests of a plan and verifies each response.

It reads a plan as JSON from standard input and writes the results to standard output. Arrivals are
open-loop: a slow response does not delay the next request, and each request has one result. A plan
with `workers` is closed-loop instead: its requests are templates, each of which workers send again
and again, one request at a time. Requests in flight at the end of such a plan have no result.
"""

import sys
from dataclasses import dataclass, field, replace

import click
import httpcore
import msgspec
import trio

from wasabiwell_standins.caller import chat_body
from wasabiwell_standins.completions import expected_completion

BYTES_PER_TOKEN = 4
MAX_CONNECTIONS = 1_000
FAILURE_DELAY_S = 0.2
"""Delay of a closed-loop worker after a failed request."""


@dataclass(frozen=True, slots=True)
class PlannedRequest:
    """A request of a plan.

    `at_s` is its arrival time in seconds after the start of the run and applies to the open loop
    only. `kind` is copied to the result. `prefix` is the text that prompts of its kind share, and
    `tag` makes the prompt unique. `timeout_s` limits the time to the complete response, in seconds.
    """

    at_s: float
    organisation: str
    kind: str
    tag: str
    prefix: str
    prompt_tokens: int
    max_tokens: int
    timeout_s: float


@dataclass(frozen=True, slots=True)
class Plan:
    """Requests to send, entry addresses to send them to, and API keys by organisation.

    In the open loop the requests go to the addresses in turn, in the closed loop each worker keeps
    to one address. `workers` is the number of workers for each request of an organisation.
    `duration_s` applies to the closed loop only.
    """

    addresses: list[str]
    keys: dict[str, str]
    service: str
    requests: list[PlannedRequest]
    workers: dict[str, int] = field(default_factory=dict)
    duration_s: float = 0.0


@dataclass(slots=True)
class Result:
    """Result of a request; `error` is empty if the response is complete and correct.

    `first_token_s` and `total_s` are seconds since sending began, `ended_s` is seconds since the
    start of a closed-loop run. `tokens` is the number of received tokens. `texts` collects them
    until they have been verified.
    """

    organisation: str
    kind: str
    prompt_tokens: int
    status: int = 0
    first_token_s: float = 0.0
    total_s: float = 0.0
    tokens: int = 0
    error: str = ""
    ended_s: float = 0.0
    texts: list[str] = field(default_factory=list, repr=False)


def make_prompt(planned: PlannedRequest) -> bytes:
    """Return JSON messages with the shared prefix, the tag and padding."""
    content = f"{planned.prefix} {planned.tag} "
    # The JSON around the content takes about 32 bytes.
    filler = "x" * max(0, planned.prompt_tokens * BYTES_PER_TOKEN - len(content) - 32)
    return msgspec.json.encode([{"role": "user", "content": content + filler}])


async def send_request(
    pool: httpcore.AsyncConnectionPool, plan: Plan, planned: PlannedRequest, address: str
) -> Result:
    """Send one request and verify the response; durations count from when sending begins."""
    result = Result(planned.organisation, planned.kind, planned.prompt_tokens)
    messages = make_prompt(planned)
    body = chat_body(plan.service, messages, planned.max_tokens)
    headers = [
        (b"authorization", f"Bearer {plan.keys[planned.organisation]}".encode()),
        (b"content-type", b"application/json"),
    ]
    started = trio.current_time()
    timeout = dict.fromkeys(("connect", "read", "write", "pool"), planned.timeout_s)
    url = f"http://{address}/v1/chat/completions"
    result.error = "no complete response within the timeout"
    with trio.move_on_after(planned.timeout_s):
        try:
            async with pool.stream(
                "POST", url, headers=headers, content=body, extensions={"timeout": timeout}
            ) as response:
                await _read_stream(response, result, started)
        except (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError) as error:
            result.error = repr(error)
    result.total_s = trio.current_time() - started
    if not result.error and "".join(result.texts) != expected_completion(
        messages, planned.max_tokens
    ):
        result.error = "the response is not the expected completion"
    result.tokens = len(result.texts)
    result.texts = []
    return result


async def _read_stream(response: httpcore.Response, result: Result, started: float) -> None:
    result.status = response.status
    if response.status != 200:
        result.error = (await response.aread()).decode()
        return
    buffer = b""
    done = False
    async for data in response.aiter_stream():
        buffer += data
        *events, buffer = buffer.split(b"\n\n")
        for event in events:
            if event == b"data: [DONE]":
                done = True
            elif event.startswith(b"data: "):
                value = msgspec.json.decode(event[6:])
                if "error" in value:
                    result.error = str(value["error"])
                    return
                if content := value["choices"][0]["delta"].get("content"):
                    result.first_token_s = result.first_token_s or trio.current_time() - started
                    # Tokens of the engine stand-ins are single words, each followed by a space.
                    result.texts += [f"{token} " for token in content.split()]
    result.error = "" if done else "the stream ended without [DONE]"


async def run_open_loop(plan: Plan) -> list[Result]:
    """Send each request at its arrival time and return all results."""
    results: list[Result] = []
    started = trio.current_time()
    async with httpcore.AsyncConnectionPool(max_connections=MAX_CONNECTIONS) as pool:

        async def send_at_arrival(index: int, planned: PlannedRequest) -> None:
            await trio.sleep_until(started + planned.at_s)
            address = plan.addresses[index % len(plan.addresses)]
            results.append(await send_request(pool, plan, planned, address))

        async with trio.open_nursery() as nursery:
            for index, planned in enumerate(plan.requests):
                nursery.start_soon(send_at_arrival, index, planned)
    return results


async def run_closed_loop(plan: Plan) -> list[Result]:
    """Run `workers[organisation]` workers for each planned request for the plan's duration.

    Each worker sends copies of the request with tags of their own, one after the other.
    """
    results: list[Result] = []
    started = trio.current_time()
    async with httpcore.AsyncConnectionPool(max_connections=MAX_CONNECTIONS) as pool:

        async def worker(planned: PlannedRequest, number: int) -> None:
            count = 0
            while True:
                count += 1
                item = replace(planned, tag=f"{planned.tag}-{number}-{count}")
                address = plan.addresses[number % len(plan.addresses)]
                result = await send_request(pool, plan, item, address)
                result.ended_s = trio.current_time() - started
                results.append(result)
                if result.error:
                    await trio.sleep(FAILURE_DELAY_S)

        with trio.move_on_after(plan.duration_s):
            async with trio.open_nursery() as nursery:
                for planned in plan.requests:
                    for number in range(plan.workers[planned.organisation]):
                        nursery.start_soon(worker, planned, number)
    return results


@click.command()
def main() -> None:
    """Run a plan read from standard input and write the results to standard output."""
    plan = msgspec.json.decode(sys.stdin.buffer.read(), type=Plan)
    results = trio.run(run_closed_loop if plan.workers else run_open_loop, plan)
    sys.stdout.buffer.write(msgspec.json.encode(results))


if __name__ == "__main__":
    main()
