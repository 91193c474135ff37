"""TLS contexts that reload their certificates when the files change."""

import ssl
from dataclasses import dataclass, field
from datetime import timedelta
from pathlib import Path

import trio

from wasabiwell_entry.state import log_events

RELOAD_CHECK_INTERVAL = timedelta(seconds=2)
HTTP2_PROTOCOL = "h2"


@dataclass(frozen=True, slots=True)
class KeyPair:
    """Paths of a certificate chain and its private key, both in PEM format."""

    certificate: str
    key: str


@dataclass(slots=True)
class CertificateReloader:
    """Creates TLS contexts and reloads them, so that new connections use the current files.

    A CA certificate that is removed from a file stays trusted until the process restarts, because
    an `ssl.SSLContext` can only add CA certificates.
    """

    _watched_contexts: list["_WatchedContext"] = field(default_factory=list)

    def server(self, pair: KeyPair, protocols: tuple[str, ...]) -> ssl.SSLContext:
        """Return the context of a listener that offers the given ALPN protocols."""
        context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
        context.set_alpn_protocols(list(protocols))
        self._watch(context, pair, "")
        return context

    def peer_server(self, pair: KeyPair, ca: str) -> ssl.SSLContext:
        """Return the context of a listener that requires client certificates of the given CAs."""
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        context.verify_mode = ssl.CERT_REQUIRED
        context.set_alpn_protocols([HTTP2_PROTOCOL])
        self._watch(context, pair, ca)
        return context

    def peer_client(self, pair: KeyPair, ca: str) -> ssl.SSLContext:
        """Return the client context for listeners that use `peer_server`."""
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        context.set_alpn_protocols([HTTP2_PROTOCOL])
        self._watch(context, pair, ca)
        return context

    def client(self, ca: str) -> ssl.SSLContext:
        """Return the client context for servers with certificates of the given CAs."""
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        self._watch(context, None, ca)
        return context

    async def run(self) -> None:
        """Reload changed files until cancelled."""
        if not self._watched_contexts:
            return
        while True:
            await trio.sleep(RELOAD_CHECK_INTERVAL.total_seconds())
            for watched in self._watched_contexts:
                watched.refresh()

    def _watch(self, context: ssl.SSLContext, pair: KeyPair | None, ca: str) -> None:
        watched = _WatchedContext(context, pair, ca)
        watched.load()
        self._watched_contexts.append(watched)


@dataclass(slots=True)
class _WatchedContext:
    """A context, its files, and the signature of the files that it has loaded."""

    context: ssl.SSLContext
    pair: KeyPair | None
    ca: str
    loaded_signature: tuple[tuple[int, int, int], ...] = ()

    def load(self) -> None:
        """Load the files; if this raises `OSError` or `ssl.SSLError`, the context is unchanged."""
        signature = self._signature()
        trial = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        self._load_into(trial)
        self._load_into(self.context)
        self.loaded_signature = signature

    def refresh(self) -> None:
        """Reload the files if they changed; on failure the previous ones stay in use.

        This runs on the event loop without a checkpoint, so that no handshake starts between the
        loading of the certificate and of the key.
        """
        path = self.pair.certificate if self.pair is not None else self.ca
        try:
            if self._signature() == self.loaded_signature:
                return
            self.load()
        except (OSError, ssl.SSLError) as error:
            log_events.emit(log_events.CERTIFICATE_REJECTED, path=path, reason=error)
            return
        log_events.emit(log_events.CERTIFICATE_LOADED, path=path)

    def _load_into(self, context: ssl.SSLContext) -> None:
        if self.pair is not None:
            context.load_cert_chain(self.pair.certificate, self.pair.key)
        if self.ca:
            context.load_verify_locations(self.ca)

    def _signature(self) -> tuple[tuple[int, int, int], ...]:
        paths = [*((self.pair.certificate, self.pair.key) if self.pair else ()), self.ca]
        stats = [Path(path).stat() for path in paths if path]
        return tuple((stat.st_mtime_ns, stat.st_size, stat.st_ino) for stat in stats)
