"""Idempotency and fingerprints of calls to plain services."""

import hashlib

from wasabiwell_config import PlainService

IDEMPOTENCY_HEADER = b"idempotency-key"
MAX_IDEMPOTENCY_KEY_CHARS = 255


def is_idempotent(service: PlainService, method: str, path: str) -> bool:
    """Return False when a rule of the service marks the call as non-idempotent."""
    path_only = path.partition("?")[0]
    return not any(
        rule.method in ("*", method) and _is_below(path_only, rule.path)
        for rule in service.non_idempotent
    )


def fingerprint(organisation: str, service: str, *parts: bytes) -> str:
    """Return a SHA-256 that identifies a request of an organisation to a service."""
    digest = hashlib.sha256()
    for part in (organisation.encode(), service.encode(), *parts):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


def _is_below(path: str, prefix: str) -> bool:
    return path == prefix or path.startswith(prefix.rstrip("/") + "/")
