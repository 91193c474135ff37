"""TLS contexts whose certificates are read again when their files change."""

import ssl
from dataclasses import dataclass, field
from datetime import timedelta
from pathlib import Path

import trio

from wasabiwell_entry.state import log_events

CHECK_INTERVAL = timedelta(seconds=2)
HTTP2_PROTOCOL = "h2"


@dataclass(frozen=True, slots=True)
class KeyPair:
    """Paths of a certificate chain and its key, both PEM."""

    certificate: str
    key: str


@dataclass(slots=True)
class CertificateReloader:
    """Contexts that use one key pair or one list of issuers; new connections see new files.

    Issuers that are taken out of a file stay accepted until the process starts anew, because a
    context only adds issuers.
    """

    _watched: list["_Watched"] = field(default_factory=list)

    def server(self, pair: KeyPair, protocols: tuple[str, ...]) -> ssl.SSLContext:
        """Return the context of a listener that offers these ALPN protocols."""
        context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
        context.set_alpn_protocols(list(protocols))
        self._watch(context, pair, "")
        return context

    def peer_server(self, pair: KeyPair, ca: str) -> ssl.SSLContext:
        """Return the context of a listener that accepts only clients of these issuers."""
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        context.verify_mode = ssl.CERT_REQUIRED
        context.set_alpn_protocols([HTTP2_PROTOCOL])
        self._watch(context, pair, ca)
        return context

    def peer_client(self, pair: KeyPair, ca: str) -> ssl.SSLContext:
        """Return the context of connections to listeners of `peer_server`."""
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        context.set_alpn_protocols([HTTP2_PROTOCOL])
        self._watch(context, pair, ca)
        return context

    def client(self, ca: str) -> ssl.SSLContext:
        """Return the context of connections to servers of these issuers."""
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        self._watch(context, None, ca)
        return context

    async def run(self) -> None:
        """Read changed files again until cancelled."""
        if not self._watched:
            return
        while True:
            await trio.sleep(CHECK_INTERVAL.total_seconds())
            for watched in self._watched:
                watched.refresh()

    def _watch(self, context: ssl.SSLContext, pair: KeyPair | None, ca: str) -> None:
        watched = _Watched(context, pair, ca)
        watched.load()
        self._watched.append(watched)


@dataclass(slots=True)
class _Watched:
    """A context, its files, and what the files looked like when they were read."""

    context: ssl.SSLContext
    pair: KeyPair | None
    ca: str
    seen: tuple[tuple[int, int, int], ...] = ()

    def load(self) -> None:
        """Read the files; raises `OSError` or `ssl.SSLError` and then leaves the context alone."""
        seen = self._signature()
        scratch = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        self._load_into(scratch)
        self._load_into(self.context)
        self.seen = seen

    def refresh(self) -> None:
        """Read the files again when they changed; the previous ones stay in use on failure.

        This runs on the event loop, so that no handshake begins between certificate and key.
        """
        path = self.pair.certificate if self.pair is not None else self.ca
        try:
            if self._signature() == self.seen:
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
        names = [*((self.pair.certificate, self.pair.key) if self.pair else ()), self.ca]
        stats = [Path(name).stat() for name in names if name]
        return tuple((stat.st_mtime_ns, stat.st_size, stat.st_ino) for stat in stats)
