"""Steps for the fair queue, with a reference model of start-time fair queueing."""

from datetime import timedelta

from behave import given, then, when
from behave.runner import Context
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st
from support.admission import make_request
from wasabiwell_entry.coordination.admission.queue import FairQueue, QueuedRequest
from wasabiwell_entry.state.clock import ManualClock
from wasabiwell_entry.state.sizes import SizeClass

WEIGHTS = {"a": 4.0, "b": 1.0, "c": 1.0}
MAX_QUEUED = 4
ARRIVALS = st.tuples(st.sampled_from("abc"), st.sampled_from((500, 3_000, 50_000, 200_000)))
OPERATIONS = st.lists(ARRIVALS | st.sampled_from(SizeClass), max_size=60)
DETERMINISTIC = settings(derandomize=True, database=None, deadline=None, max_examples=300)


class ReferenceQueue:
    """Reference model that computes tags by definition and searches plain lists."""

    def __init__(self) -> None:
        self.waiting: list[tuple[float, int, str, SizeClass]] = []
        self.finish: dict[tuple[str, SizeClass], float] = {}
        self.virtual = dict.fromkeys(SizeClass, 0.0)

    def arrive(self, number: int, name: str, size: SizeClass, tokens: int) -> bool:
        """Add a request; return False if the organisation's queue is full."""
        if sum(item[2] == name for item in self.waiting) >= MAX_QUEUED:
            return False
        start = max(self.virtual[size], self.finish.get((name, size), 0.0))
        self.finish[name, size] = start + tokens / WEIGHTS[name]
        self.waiting.append((start, number, name, size))
        return True

    def next(self, size: SizeClass) -> int | None:
        """Remove the next request of a class and return its number."""
        ready = [item for item in self.waiting if item[3] is size]
        if not ready:
            return None
        first = min(ready)
        self.waiting.remove(first)
        self.virtual[size] = max(self.virtual[size], first[0])
        return first[1]


@then("random arrivals and grants match the reference model and the queue limit")
def step_oracle(context: Context) -> None:
    @DETERMINISTIC
    @for_all(OPERATIONS)
    def check(operations: list[tuple[str, int] | SizeClass]) -> None:
        queue, reference = FairQueue(ManualClock(), MAX_QUEUED), ReferenceQueue()
        numbers: dict[str, int] = {}
        for number, operation in enumerate(operations):
            if isinstance(operation, SizeClass):
                waiting = queue.in_grant_order(operation)
                expected = reference.next(operation)
                assert (numbers[waiting[0].request.request_id] if waiting else None) == expected
                if waiting:
                    queue.grant(waiting[0])
                continue
            name, tokens = operation
            request = make_request(tokens, name, number=number)
            numbers[request.request_id] = number
            accepted = reference.arrive(number, name, request.size, tokens)
            queued = queue.enqueue(request, WEIGHTS[name], frozenset())
            assert isinstance(queued, QueuedRequest) == accepted
            assert len(queue) == len(reference.waiting) <= MAX_QUEUED * len(WEIGHTS)

    check()


@then("random backlogs are served within the bound of start-time fair queueing")
def step_share(context: Context) -> None:
    sizes = st.lists(st.integers(1, 7_000), min_size=5, max_size=30)

    @DETERMINISTIC
    @for_all(st.fixed_dictionaries({name: sizes for name in WEIGHTS}))
    def check(backlogs: dict[str, list[int]]) -> None:
        queue = FairQueue(ManualClock())
        for name, tokens in backlogs.items():
            for number, count in enumerate(tokens):
                queue.enqueue(make_request(count, name, number=number), WEIGHTS[name], frozenset())
        left = {name: len(tokens) for name, tokens in backlogs.items()}
        served = dict.fromkeys(WEIGHTS, 0.0)
        while all(left.values()):
            queued = queue.in_grant_order(SizeClass.SHORT)[0]
            queue.grant(queued)
            name = queued.request.organisation
            left[name] -= 1
            served[name] += queued.cost / WEIGHTS[name]
            for first in WEIGHTS:
                for second in WEIGHTS:
                    bound = sum(max(backlogs[item]) / WEIGHTS[item] for item in (first, second))
                    assert abs(served[first] - served[second]) <= bound + 1e-6

    check()


@given("a fair queue that holds {count:d} requests of an organisation")
def step_queue(context: Context, count: int) -> None:
    context.clock = ManualClock()
    context.queue = FairQueue(context.clock, count)


@when('organisation "{name}" queues {count:d} requests of {tokens:d} tokens')
def step_enqueue(context: Context, name: str, count: int, tokens: int) -> None:
    for _ in range(count):
        request = make_request(tokens, name, context.clock.monotonic())
        assert isinstance(context.queue.enqueue(request, 1.0, frozenset()), QueuedRequest)


@when("1 request is granted in each of {seconds:d} seconds")
def step_grants(context: Context, seconds: int) -> None:
    for _ in range(seconds):
        context.queue.grant(context.queue.in_grant_order(SizeClass.SHORT)[0])
        context.clock.advance(timedelta(seconds=1))


@then('a request of organisation "{name}" with {tokens:d} tokens is refused as "{kind}"')
def step_refused(context: Context, name: str, tokens: int, kind: str) -> None:
    request = make_request(tokens, name, context.clock.monotonic() - timedelta(seconds=40))
    outcome = context.queue.enqueue(request, 1.0, frozenset())
    assert type(outcome).__name__ == kind, outcome


@then('a request of organisation "{name}" with {tokens:d} tokens is queued')
def step_queued(context: Context, name: str, tokens: int) -> None:
    request = make_request(tokens, name, context.clock.monotonic() - timedelta(seconds=40))
    assert isinstance(context.queue.enqueue(request, 1.0, frozenset()), QueuedRequest)


@then('the size classes are scheduled in the order "{order}"')
def step_classes(context: Context, order: str) -> None:
    assert [size.value for size, _ in context.queue.classes_in_grant_order()] == order.split()
