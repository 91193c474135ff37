"""TLS contexts of an entry instance, created from its settings."""

import ipaddress
import ssl
from dataclasses import dataclass

from wasabiwell_entry.settings import Settings, split_address
from wasabiwell_entry.state import log_events
from wasabiwell_entry.transport.certificates import CertificateReloader, KeyPair

CALLER_PROTOCOLS = ("h2", "http/1.1")


@dataclass(frozen=True, slots=True)
class TlsContexts:
    """TLS contexts of an entry instance; None means connections without TLS."""

    certificates: CertificateReloader
    callers: ssl.SSLContext | None
    peer_server: ssl.SSLContext | None
    peer_client: ssl.SSLContext | None
    targets: ssl.SSLContext | None
    platform: ssl.SSLContext | None


def open_tls(settings: Settings) -> TlsContexts:
    """Return the TLS contexts for the certificates in the settings."""
    certificates = CertificateReloader()
    peer_server = peer_client = None
    if settings.peer_tls_certificate:
        pair = KeyPair(settings.peer_tls_certificate, settings.peer_tls_key)
        peer_server = certificates.peer_server(pair, settings.peer_tls_ca)
        peer_client = certificates.peer_client(pair, settings.peer_tls_ca)
    pair = KeyPair(settings.tls_certificate, settings.tls_key)
    return TlsContexts(
        certificates=certificates,
        callers=certificates.server(pair, CALLER_PROTOCOLS) if pair.certificate else None,
        peer_server=peer_server,
        peer_client=peer_client,
        targets=certificates.client(settings.target_ca) if settings.target_ca else None,
        platform=certificates.client(settings.platform_ca) if settings.platform_ca else None,
    )


def warn_of_plaintext(settings: Settings) -> None:
    """Log each listener that is reachable from other machines without TLS."""
    listeners = (
        (settings.caller_address, settings.tls_certificate),
        (settings.peer_address, settings.peer_tls_certificate),
    )
    for address, certificate in listeners:
        host = ipaddress.ip_address(split_address(address)[0].strip("[]"))
        if not certificate and not host.is_loopback:
            log_events.emit(log_events.PLAINTEXT_LISTENER, address=address)
