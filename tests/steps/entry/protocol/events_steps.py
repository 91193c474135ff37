"""Steps for the events of streams."""

from behave import then, when
from behave.runner import Context
from wasabiwell_entry.protocol.events import EventSplitter, UnreadableEventError


@when('the stream "{text}" is read in pieces of {size:d} bytes')
def step_read(context: Context, text: str, size: int) -> None:
    data = text.replace("|", "\n").encode()
    context.splitter, context.events, context.error = EventSplitter(), [], None
    try:
        for start in range(0, len(data), size):
            context.events += context.splitter.feed(data[start : start + size])
    except UnreadableEventError as error:
        context.error = error


@then('the events are "{ids}"')
def step_events(context: Context, ids: str) -> None:
    found = ["-" if event.event_id is None else str(event.event_id) for event in context.events]
    assert found == ids.split(), found


@then('the remainder is "{text}"')
def step_remainder(context: Context, text: str) -> None:
    assert context.splitter.remainder == text.replace("|", "\n").encode()


@then("it cannot be read")
def step_unreadable(context: Context) -> None:
    assert context.error is not None
