"""Settings of an entry instance, validated at start."""

import ipaddress
import math
import re
import ssl
from dataclasses import dataclass
from datetime import timedelta
from pathlib import Path
from urllib.parse import urlsplit

from wasabiwell_entry.coordination.addresses.const import DEFAULT_ADDRESS_TTL
from wasabiwell_entry.coordination.lifecycle.const import DEFAULT_DRAIN_LIMIT
from wasabiwell_entry.coordination.routing.errors import UnknownPolicy
from wasabiwell_entry.coordination.routing.policies import (
    DEFAULT_POLICY,
    POLICY_NAMES,
    policy_by_name,
)
from wasabiwell_entry.state.outcomes import Finding

MIN_PORT = 1
MAX_PORT = 65_535
NAME_PATTERN = r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}"
KEY_HASH_PATTERN = r"[0-9a-f]{64}"


@dataclass(frozen=True, slots=True, kw_only=True)
class Settings:
    """Settings of one entry instance; addresses are `HOST:PORT` with an IP address as host.

    An empty path or URL disables the feature.
    """

    node_id: str
    region: str
    zone: str
    caller_address: str
    peer_address: str
    table_url: str
    object_url: str
    instance_url: str
    max_body_bytes: int = 16 * 1024 * 1024
    buffer_mb: float = 256.0
    file_descriptors: int = 0
    body_timeout: timedelta = timedelta(seconds=30)
    address_ttl: timedelta = DEFAULT_ADDRESS_TTL
    bootstrap_key_hash: str = ""
    otlp_endpoint: str = ""
    otlp_interval: timedelta = timedelta(seconds=10)
    otlp_sample_ratio: float = 1.0
    tls_certificate: str = ""
    tls_key: str = ""
    peer_tls_certificate: str = ""
    peer_tls_key: str = ""
    peer_tls_ca: str = ""
    target_ca: str = ""
    platform_ca: str = ""
    weight_loads: int = 120
    drain_limit: timedelta = DEFAULT_DRAIN_LIMIT
    seeds: tuple[str, ...] = ()
    peer_listen: str = ""
    policy: str = DEFAULT_POLICY


def split_address(address: str) -> tuple[str, int]:
    """Return host and port of a validated address."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def check_settings(settings: Settings) -> list[Finding]:
    """Return all findings of the settings."""
    findings: list[Finding] = []
    for name in ("node_id", "region", "zone"):
        if not re.fullmatch(NAME_PATTERN, getattr(settings, name)):
            findings.append(Finding(flag(name), f"must match {NAME_PATTERN}"))
    listen = ("peer_listen",) if settings.peer_listen else ()
    for name in ("caller_address", "peer_address", *listen):
        findings += _check_address(flag(name), getattr(settings, name))
    for seed in settings.seeds:
        findings += _check_address("--seed", seed)
    if settings.caller_address == settings.peer_address:
        findings.append(Finding("--peer-address", "must differ from --caller-address"))
    for name in ("table_url", "object_url", "instance_url"):
        findings += _check_url(flag(name), getattr(settings, name))
    if settings.otlp_endpoint:
        findings += _check_url("--otlp-endpoint", settings.otlp_endpoint)
    if settings.max_body_bytes <= 0:
        findings.append(Finding("--max-body-bytes", "must be above 0"))
    if not 0 < settings.buffer_mb < math.inf:
        findings.append(Finding("--buffer-mb", "must be above 0 and finite"))
    if settings.file_descriptors < 0:
        findings.append(Finding("--file-descriptors", "must not be negative"))
    if isinstance(policy_by_name(settings.policy), UnknownPolicy):
        findings.append(Finding("--policy", f"must be one of {', '.join(POLICY_NAMES)}"))
    if settings.weight_loads <= 0:
        findings.append(Finding("--weight-loads", "must be above 0"))
    for name in ("body_timeout", "address_ttl", "drain_limit", "otlp_interval"):
        if getattr(settings, name) <= timedelta():
            findings.append(Finding(f"{flag(name)}-s", "must be above 0"))
    if not 0 <= settings.otlp_sample_ratio <= 1:
        findings.append(Finding("--otlp-sample-ratio", "must be from 0 to 1"))
    if not re.fullmatch(f"({KEY_HASH_PATTERN})?", settings.bootstrap_key_hash):
        findings.append(Finding("--bootstrap-key-hash", "must be a SHA-256 hash in hexadecimal"))
    return findings + _check_tls(settings)


def flag(name: str) -> str:
    """Return the command-line flag for a field of `Settings`."""
    return f"--{name.replace('_', '-')}"


def duration(seconds: float) -> timedelta:
    """Return a duration; NaN and infinity become 0, which `check_settings` rejects."""
    return timedelta(seconds=seconds) if abs(seconds) < math.inf else timedelta()


def _check_tls(settings: Settings) -> list[Finding]:
    findings = []
    groups = (
        ("tls_certificate", "tls_key"),
        ("peer_tls_certificate", "peer_tls_key", "peer_tls_ca"),
        ("target_ca",),
        ("platform_ca",),
    )
    for group in groups:
        present = [name for name in group if getattr(settings, name)]
        for name in group:
            if present and name not in present:
                findings.append(Finding(flag(name), f"is required with {flag(present[0])}"))
        findings += [
            Finding(flag(name), f"{getattr(settings, name)} is not a file")
            for name in present
            if not Path(getattr(settings, name)).is_file()
        ]
    return findings or _check_certificates(settings)


def _check_certificates(settings: Settings) -> list[Finding]:
    findings = []
    test_context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    for name, key in (("tls_certificate", "tls_key"), ("peer_tls_certificate", "peer_tls_key")):
        if getattr(settings, name):
            try:
                test_context.load_cert_chain(getattr(settings, name), getattr(settings, key))
            except (OSError, ssl.SSLError) as error:
                message = f"is not a certificate that matches {flag(key)}: {error}"
                findings.append(Finding(flag(name), message))
    for name in ("peer_tls_ca", "target_ca", "platform_ca"):
        if getattr(settings, name):
            try:
                test_context.load_verify_locations(getattr(settings, name))
            except (OSError, ssl.SSLError) as error:
                findings.append(Finding(flag(name), f"contains no certificates: {error}"))
    return findings


def _check_address(place: str, address: str) -> list[Finding]:
    host, _, port = address.rpartition(":")
    if not host or not port.isdecimal() or not MIN_PORT <= int(port) <= MAX_PORT:
        return [Finding(place, f"must be HOST:PORT, not {address!r}")]
    return _check_host(place, host.strip("[]"))


def _check_host(place: str, host: str) -> list[Finding]:
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return [Finding(place, f"must have an IP address as host, not {host!r}")]
    return []


def _check_url(place: str, url: str) -> list[Finding]:
    try:
        parts = urlsplit(url)
        port = parts.port
    except ValueError as error:
        return [Finding(place, f"must be a URL: {error}")]
    if parts.scheme not in ("http", "https") or not parts.hostname or port == 0:
        return [Finding(place, f"must be http://HOST:PORT or https://HOST:PORT, not {url!r}")]
    return _check_host(place, parts.hostname)
