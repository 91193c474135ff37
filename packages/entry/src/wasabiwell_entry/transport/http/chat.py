"""Handler of `POST /v1/chat/completions`."""

from datetime import timedelta

import trio
from wasabiwell_config import ModelService, Organisation

from wasabiwell_entry.protocol.chat import (
    KEEP_ALIVE_EVENT,
    ChatBody,
    ChatEncoder,
    parse_chat,
    prefix_hashes,
)
from wasabiwell_entry.protocol.problem import problem
from wasabiwell_entry.protocol.service_call import fingerprint
from wasabiwell_entry.state.outcomes import Failed, Finding, Finished, Reason, Refused
from wasabiwell_entry.state.requests import GenerateRequest, TokenFrame
from wasabiwell_entry.state.sizes import SizeClass, size_class
from wasabiwell_entry.transport.http.asgi import JSON_TYPE, HttpExchange
from wasabiwell_entry.transport.http.context import (
    HttpContext,
    authenticate_organisation,
    new_request_id,
)

EVENT_STREAM_HEADERS = [
    (b"content-type", b"text/event-stream"),
    (b"cache-control", b"no-cache"),
]
KEEP_ALIVE_INTERVAL_SECONDS = 5.0


class StreamSink:
    """Sends tokens as server-sent events, and keep-alive comments while there are none."""

    __slots__ = ("_encoder", "_exchange", "_last_sent", "_request_id", "_send_lock")

    def __init__(self, exchange: HttpExchange, encoder: ChatEncoder, request_id: str) -> None:
        self._exchange = exchange
        self._encoder = encoder
        self._request_id = request_id
        self._last_sent = trio.current_time()
        self._send_lock = trio.Lock()

    async def send(self, frame: TokenFrame) -> None:
        """Send the event of a frame, and the response headers before the first one."""
        await self._send(self._encoder.token_event(frame))

    async def keep_alive(self) -> None:
        """Send a comment after each idle interval, until cancelled."""
        while True:
            await trio.sleep_until(self._last_sent + KEEP_ALIVE_INTERVAL_SECONDS)
            if trio.current_time() >= self._last_sent + KEEP_ALIVE_INTERVAL_SECONDS:
                await self._send(KEEP_ALIVE_EVENT)

    async def _send(self, data: bytes) -> None:
        async with self._send_lock:
            await self.begin()
            await self._exchange.send(data)
            self._last_sent = trio.current_time()

    async def begin(self) -> None:
        """Send the response headers unless they have been sent."""
        if not self._exchange.started:
            request_id = (b"x-request-id", self._request_id.encode())
            await self._exchange.start(200, [*EVENT_STREAM_HEADERS, request_id])


class CollectingSink:
    """Collects the tokens of a response that is not streamed."""

    __slots__ = ("_texts",)

    def __init__(self) -> None:
        self._texts: list[str] = []

    @property
    def text(self) -> str:
        """Return the text collected so far."""
        return "".join(self._texts)

    async def send(self, frame: TokenFrame) -> None:
        """Collect the text of a frame."""
        self._texts.append(frame.text)


async def handle_chat(context: HttpContext, exchange: HttpExchange) -> None:
    """Handle a chat completion request."""
    received = context.clock.monotonic()
    body = await exchange.read_body(
        context.limits.max_body_bytes, context.limits.body_timeout_seconds
    )
    parsed = body if isinstance(body, Refused) else parse_chat(body)
    if isinstance(parsed, Refused):
        await exchange.respond_problem(problem(parsed))
        return
    request = _authorize_request(context, exchange, parsed, received)
    if isinstance(request, Refused):
        await exchange.respond_problem(problem(request))
        return
    async with trio.open_nursery() as nursery:
        nursery.start_soon(exchange.cancel_on_disconnect, nursery.cancel_scope)
        if parsed.stream:
            await _respond_streaming(context, exchange, request)
        else:
            await _respond_complete(context, exchange, request)
        nursery.cancel_scope.cancel()


def _authorize_request(
    context: HttpContext, exchange: HttpExchange, body: ChatBody, received: timedelta
) -> GenerateRequest | Refused:
    organisation = authenticate_organisation(context, exchange, body.model)
    if isinstance(organisation, Refused):
        return organisation
    service = context.configuration.view.model_service(body.model)
    if service is None:
        message = f"no model service is named {body.model}"
        return Refused(Reason.UNKNOWN_SERVICE, message, findings=(Finding("$.model", message),))
    if body.prompt_tokens > service.max_prompt_tokens:
        message = f"the prompt has about {body.prompt_tokens} tokens, more than the service's limit"
        return Refused(Reason.PROMPT_TOO_LONG, message, findings=(Finding("$.messages", message),))
    return _make_request(organisation, service, body, received)


def _make_request(
    organisation: Organisation, service: ModelService, body: ChatBody, received: timedelta
) -> GenerateRequest:
    return GenerateRequest(
        request_id=new_request_id(),
        organisation=organisation.name,
        service=service.name,
        messages=body.messages,
        prompt_tokens=body.prompt_tokens,
        max_tokens=body.max_tokens,
        fingerprint=fingerprint(organisation.name, service.name, body.messages),
        received=received,
        deadline=received + _deadline(service, size_class(body.prompt_tokens)),
        prefix_hashes=prefix_hashes(body.messages),
    )


def _deadline(service: ModelService, size: SizeClass) -> timedelta:
    match size:
        case SizeClass.SHORT:
            return service.deadlines.short
        case SizeClass.MEDIUM:
            return service.deadlines.medium
        case SizeClass.LONG:
            return service.deadlines.long


async def _respond_streaming(
    context: HttpContext, exchange: HttpExchange, request: GenerateRequest
) -> None:
    encoder = _make_encoder(context, request)
    sink = StreamSink(exchange, encoder, request.request_id)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(sink.keep_alive)
        outcome = await context.dispatcher.generate(request, sink)
        nursery.cancel_scope.cancel()
    match outcome:
        case Finished(tokens=tokens, finish_reason=finish_reason):
            await sink.begin()
            await exchange.finish(encoder.end_event(finish_reason, request.prompt_tokens, tokens))
        case Refused() | Failed() as failure if exchange.started:
            await exchange.finish(encoder.error_event(failure))
        case Refused() | Failed() as failure:
            await exchange.respond_problem(problem(failure), request.request_id)


async def _respond_complete(
    context: HttpContext, exchange: HttpExchange, request: GenerateRequest
) -> None:
    sink = CollectingSink()
    match await context.dispatcher.generate(request, sink):
        case Finished(tokens=tokens, finish_reason=finish_reason):
            body = _make_encoder(context, request).completion(
                sink.text, finish_reason, request.prompt_tokens, tokens
            )
            request_id = (b"x-request-id", request.request_id.encode())
            await exchange.respond(200, [JSON_TYPE, request_id], body)
        case failure:
            await exchange.respond_problem(problem(failure), request.request_id)


def _make_encoder(context: HttpContext, request: GenerateRequest) -> ChatEncoder:
    created = int(context.clock.now().timestamp())
    return ChatEncoder(request.request_id, request.service, created)
