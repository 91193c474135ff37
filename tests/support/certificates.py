"""Certificates for tests, generated in each run."""

from datetime import UTC, datetime, timedelta
from ipaddress import ip_address
from pathlib import Path

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID


class CertificateAuthority:
    """A CA whose certificates are valid for the loopback address."""

    def __init__(self, folder: Path, name: str) -> None:
        self._folder = folder
        self._name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
        self._key = ec.generate_private_key(ec.SECP256R1())
        builder = _builder(self._name, self._name, self._key)
        constraints = x509.BasicConstraints(ca=True, path_length=None)
        certificate = builder.add_extension(constraints, critical=True).sign(
            self._key, hashes.SHA256()
        )
        self.path = folder / f"{name}-ca.pem"
        self.path.write_bytes(certificate.public_bytes(serialization.Encoding.PEM))

    def issue(self, name: str) -> tuple[Path, Path, int]:
        """Write a certificate and its key to files; return their paths and the serial number."""
        key = ec.generate_private_key(ec.SECP256R1())
        subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
        alternative_names = x509.SubjectAlternativeName([x509.IPAddress(ip_address("127.0.0.1"))])
        builder = _builder(subject, self._name, key).add_extension(
            alternative_names, critical=False
        )
        certificate = builder.sign(self._key, hashes.SHA256())
        paths = self._folder / f"{name}.pem", self._folder / f"{name}-key.pem"
        paths[0].write_bytes(certificate.public_bytes(serialization.Encoding.PEM))
        paths[1].write_bytes(
            key.private_bytes(
                serialization.Encoding.PEM,
                serialization.PrivateFormat.PKCS8,
                serialization.NoEncryption(),
            )
        )
        return *paths, certificate.serial_number


def _builder(
    subject: x509.Name, issuer: x509.Name, key: ec.EllipticCurvePrivateKey
) -> x509.CertificateBuilder:
    now = datetime.now(UTC)
    return (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(issuer)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - timedelta(minutes=5))
        .not_valid_after(now + timedelta(days=1))
    )
