"""Settings of an entry instance, checked at start."""

from dataclasses import dataclass
from datetime import timedelta

from wasabiwell_entry.coordination.routing.errors import UnknownPolicy
from wasabiwell_entry.coordination.routing.policies import DEFAULT_POLICY, POLICY_NAMES, policy_of
from wasabiwell_entry.state.outcomes import Finding

MIN_PORT = 1
MAX_PORT = 65_535


@dataclass(frozen=True, slots=True, kw_only=True)
class Settings:
    """Settings of one entry instance; addresses are `HOST:PORT` with IP numbers."""

    node_id: str
    region: str
    zone: str
    caller_address: str
    peer_address: str
    table_url: str
    object_url: str
    instance_url: str
    max_body_bytes: int = 16 * 1024 * 1024
    body_timeout: timedelta = timedelta(seconds=30)
    address_ttl: timedelta = timedelta(seconds=10)
    policy: str = DEFAULT_POLICY


def split_address(address: str) -> tuple[str, int]:
    """Return host and port of an address that was checked before."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def check_settings(settings: Settings) -> list[Finding]:
    """Return all findings of the settings."""
    findings = [
        Finding(f"--{name.replace('_', '-')}", "must not be empty")
        for name in ("node_id", "region", "zone")
        if not getattr(settings, name)
    ]
    for name in ("caller_address", "peer_address"):
        findings += _check_address(f"--{name.replace('_', '-')}", getattr(settings, name))
    for name in ("table_url", "object_url", "instance_url"):
        if not getattr(settings, name).startswith("http://"):
            findings.append(Finding(f"--{name.replace('_', '-')}", "must start with http://"))
    if settings.max_body_bytes <= 0:
        findings.append(Finding("--max-body-bytes", "must be above 0"))
    if isinstance(policy_of(settings.policy), UnknownPolicy):
        findings.append(Finding("--policy", f"must be one of {', '.join(POLICY_NAMES)}"))
    return findings


def _check_address(place: str, address: str) -> list[Finding]:
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit() or not MIN_PORT <= int(port) <= MAX_PORT:
        return [Finding(place, f"must be HOST:PORT, not {address!r}")]
    return []
