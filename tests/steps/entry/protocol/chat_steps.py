"""Steps for the body of completion requests."""

import ast

from behave import then, when
from behave.runner import Context
from wasabiwell_entry.protocol.chat import ChatBody, parse_chat
from wasabiwell_entry.state.outcomes import Reason, Refused


@when("a completion request has the body {body}")
def step_body(context: Context, body: str) -> None:
    context.parsed = parse_chat(ast.literal_eval(body))


@then('it is refused as invalid with a finding at "{place}"')
def step_refused(context: Context, place: str) -> None:
    assert isinstance(context.parsed, Refused), context.parsed
    assert context.parsed.reason is Reason.INVALID_REQUEST
    assert place in [finding.place for finding in context.parsed.findings]


@then("it is accepted")
def step_accepted(context: Context) -> None:
    assert isinstance(context.parsed, ChatBody), context.parsed
