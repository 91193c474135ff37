"""HTTP caller that fetches entry addresses, sends requests and verifies responses."""

import ssl
import time
from dataclasses import dataclass, field

import httpcore
import msgspec

from wasabiwell_standins.completions import expected_completion

BYTES_PER_TOKEN = 4


@dataclass(slots=True)
class ChatResult:
    """Result of a completion request; `error` is empty if the response is complete and correct.

    `run` is the value of the header `Wasabiwell-Run`, or of the field `run` of an error.
    """

    status: int
    first_token_s: float = 0.0
    total_s: float = 0.0
    text: str = field(default="", repr=False)
    run: str = ""
    error: str = ""
    request_id: str = ""


def make_messages(prompt_tokens: int, tag: str) -> bytes:
    """Return JSON messages of about `prompt_tokens` tokens; `tag` makes the prompt unique."""
    unpadded = msgspec.json.encode([{"role": "user", "content": f"{tag} "}])
    filler = "x" * max(0, prompt_tokens * BYTES_PER_TOKEN - len(unpadded))
    return msgspec.json.encode([{"role": "user", "content": f"{tag} {filler}"}])


def chat_body(service: str, messages: bytes, max_tokens: int, stream: bool = True) -> bytes:
    """Return the body of a completion request."""
    fields = {
        "model": service,
        "messages": msgspec.Raw(messages),
        "max_tokens": max_tokens,
        "stream": stream,
    }
    return msgspec.json.encode(fields)


def fetch_addresses(address: str, zone: str | None = None, ca: str = "") -> list[str]:
    """Return the entry addresses that a caller should use; `ca` enables HTTPS."""
    tls = ssl.create_default_context(cafile=ca) if ca else None
    query = f"?zone={zone}" if zone else ""
    url = f"{'https' if ca else 'http'}://{address}/v1/addresses{query}"
    with httpcore.ConnectionPool(ssl_context=tls) as pool:
        response = pool.request("GET", url)
    addresses: list[str] = msgspec.json.decode(response.content)["addresses"]
    return addresses


def chat(
    address: str,
    key: str,
    service: str,
    messages: bytes,
    max_tokens: int = 16,
    timeout_s: float = 120.0,
    ca: str = "",
) -> ChatResult:
    """Send a streamed completion request and verify the response; `ca` enables HTTPS."""
    started = time.monotonic()
    timeout = dict.fromkeys(("connect", "read", "write", "pool"), timeout_s)
    headers = [
        (b"authorization", f"Bearer {key}".encode()),
        (b"content-type", b"application/json"),
    ]
    body = chat_body(service, messages, max_tokens)
    url = f"{'https' if ca else 'http'}://{address}/v1/chat/completions"
    tls = ssl.create_default_context(cafile=ca) if ca else None
    result = ChatResult(0)
    try:
        with (
            httpcore.ConnectionPool(ssl_context=tls) as pool,
            pool.stream(
                "POST", url, headers=headers, content=body, extensions={"timeout": timeout}
            ) as response,
        ):
            result.status = response.status
            result.run = _header(response, b"wasabiwell-run")
            result.request_id = _header(response, b"x-request-id")
            _read_stream(response, result, started)
    except (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError) as error:
        result.error = repr(error)
    result.total_s = time.monotonic() - started
    if not result.error and result.text != expected_completion(messages, max_tokens):
        result.error = "the response is not the expected completion"
    return result


def _read_stream(response: httpcore.Response, result: ChatResult, started: float) -> None:
    if response.status != 200:
        result.error = response.read().decode()
        return
    buffer = b""
    texts: list[str] = []
    done = False
    for data in response.iter_stream():
        buffer += data
        *events, buffer = buffer.split(b"\n\n")
        for event in events:
            if not event.startswith(b"data: "):
                continue
            if event == b"data: [DONE]":
                done = True
                continue
            value = msgspec.json.decode(event.removeprefix(b"data: "))
            if "error" in value:
                result.error = msgspec.json.encode(value["error"]).decode()
                result.run = value["error"]["run"]
                return
            content = value["choices"][0]["delta"].get("content")
            if content:
                result.first_token_s = result.first_token_s or time.monotonic() - started
                texts.append(content)
    result.text = "".join(texts)
    if not done:
        result.error = "the stream ended without [DONE]"


def _header(response: httpcore.Response, name: bytes) -> str:
    for key, value in response.headers:
        if key.lower() == name:
            return value.decode()
    return ""
