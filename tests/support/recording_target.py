"""A plain target that records the headers of its calls."""

import ssl
import threading
from collections.abc import Iterator
from contextlib import contextmanager
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer


class RecordingTarget(ThreadingHTTPServer):
    """HTTP server that responds to each POST with status 201."""

    daemon_threads = True

    def __init__(self) -> None:
        super().__init__(("127.0.0.1", 0), _Handler)
        self.headers: list[dict[str, str]] = []

    @property
    def address(self) -> str:
        """Return `HOST:PORT`."""
        return f"127.0.0.1:{self.server_address[1]}"


class _Handler(BaseHTTPRequestHandler):
    server: RecordingTarget

    def do_POST(self) -> None:
        """Record the headers and respond."""
        self.rfile.read(int(self.headers["content-length"]))
        self.server.headers.append({name.lower(): value for name, value in self.headers.items()})
        self.send_response(201)
        self.send_header("content-length", "0")
        self.end_headers()

    def log_message(self, format: str, *args: object) -> None:
        """Discard the log message."""


@contextmanager
def recording_target(tls: ssl.SSLContext | None = None) -> Iterator[RecordingTarget]:
    """Run a target until exit; it uses TLS if a context is given."""
    server = RecordingTarget()
    if tls is not None:
        server.socket = tls.wrap_socket(server.socket, server_side=True)
    thread = threading.Thread(target=server.serve_forever, args=(0.05,))
    thread.start()
    try:
        yield server
    finally:
        server.shutdown()
        thread.join()
        server.server_close()
