"""Steps for TLS, with a real entry instance and certificates generated for the run."""

import socket
import ssl
import subprocess
import sys
import tempfile
from dataclasses import replace
from pathlib import Path

import httpcore
from behave import given, then, when
from behave.runner import Context
from cryptography import x509
from support.certificates import CertificateAuthority
from support.recording_target import recording_target
from wasabiwell_standins.deployments import EAVELINE
from wasabiwell_standins.fleet import open_fleet, request

KEY = "lowell-crews-key"


def make_authority(context: Context, name: str) -> CertificateAuthority:
    """Return a CA whose files are deleted at the end of the scenario."""
    folder = context.stack.enter_context(tempfile.TemporaryDirectory())
    return CertificateAuthority(Path(folder), name)


def command(context: Context, *arguments: str, stdin: bytes = b"") -> subprocess.CompletedProcess:
    """Run the operators' command against the entry instance."""
    entry = context.fleet.entries[0].address
    key = EAVELINE.operator_key
    return subprocess.run(
        [sys.executable, "-m", "wasabiwell_cli.main", "--entry", entry, "--key", key, *arguments],
        input=stdin,
        capture_output=True,
        check=False,
    )


def server_serial(address: str, ca: Path) -> int:
    """Return the serial number of the server certificate on a new connection."""
    host, _, port = address.rpartition(":")
    tls = ssl.create_default_context(cafile=ca)
    with (
        socket.create_connection((host, int(port)), 5) as plain,
        tls.wrap_socket(plain, server_hostname=host) as stream,
    ):
        certificate = x509.load_der_x509_certificate(stream.getpeercert(True) or b"")
        return certificate.serial_number


@given("an entry instance with TLS for callers, peers and targets")
def step_tls(context: Context) -> None:
    context.authority = make_authority(context, "operations")
    context.pair = context.authority.issue("entry-0")
    certificate, key, context.serial = context.pair
    tls = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    tls.load_cert_chain(*context.authority.issue("target")[:2])
    context.target = context.stack.enter_context(recording_target(tls))
    fleet = context.fleet = context.stack.enter_context(open_fleet(replace(EAVELINE, entries=1)))
    fleet.start_platform()
    record = {"instance_id": "recorder", "role": "plain", "service": "crew-desk"}
    record |= {"address": context.target.address, "peer_address": "", "region": "new-england"}
    request("PUT", fleet.platform.address, "/instances/recorder", {**record, "zone": "merrimack"})
    ca = str(context.authority.path)
    options = ["--tls-certificate", certificate, "--tls-key", key, "--target-ca", ca]
    options += ["--peer-tls-certificate", certificate, "--peer-tls-key", key, "--peer-tls-ca", ca]
    fleet.start_entry(0, *map(str, options))


@then("the operators' command works only with the CA of the entry instance")
def step_command(context: Context) -> None:
    printed = subprocess.run(
        [sys.executable, "examples/eaveline.py"], check=True, capture_output=True
    ).stdout
    applied = command(context, "--ca", str(context.authority.path), "apply", "-", stdin=printed)
    assert applied.returncode == 0, applied
    assert command(context, "status").returncode == 4
    other = make_authority(context, "other")
    assert command(context, "--ca", str(other.path), "status").returncode == 4


@then("a booking with TLS reaches a target with TLS")
def step_booking(context: Context) -> None:
    headers = {"authorization": f"Bearer {KEY}", "idempotency-key": "tls-1"}
    address, ca = context.fleet.entries[0].address, str(context.authority.path)
    path = "/v1/services/crew-desk/bookings"

    def booked() -> bool:
        reply = request("POST", address, path, {}, headers, ca=ca)
        return reply.status == 201

    context.fleet.wait_until(booked, "the booking")
    assert len(context.target.headers) == 1, context.target.headers


@then("a caller without TLS gets no response")
def step_without_tls(context: Context) -> None:
    try:
        reply = request("GET", context.fleet.entries[0].address, "/healthz")
    except (httpcore.NetworkError, httpcore.ProtocolError):
        return
    raise AssertionError(reply.status)


@then("the peer listener accepts only clients with a certificate of the CA")
def step_peer(context: Context) -> None:
    other = make_authority(context, "stranger").issue("stranger")[:2]
    accepted = [peer_accepts(context, pair) for pair in (context.pair[:2], other, None)]
    assert accepted == [True, False, False], accepted


def peer_accepts(context: Context, pair: tuple[Path, Path] | None) -> bool:
    """Return whether the peer listener accepts a client with this key pair."""
    host, _, port = context.fleet.entries[0].peer_address.rpartition(":")
    tls = ssl.create_default_context(cafile=context.authority.path)
    tls.set_alpn_protocols(["h2"])
    if pair is not None:
        tls.load_cert_chain(*pair)
    try:
        with (
            socket.create_connection((host, int(port)), 5) as plain,
            tls.wrap_socket(plain, server_hostname=host) as stream,
        ):
            stream.sendall(b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\4\0\0\0\0\0")
            return bool(stream.recv(1))
    except (ssl.SSLError, ConnectionError):
        return False


@when("the certificate of the caller listener is replaced")
def step_replace(context: Context) -> None:
    context.serial = context.authority.issue("entry-0")[2]


@then("new connections get the new certificate")
def step_new_certificate(context: Context) -> None:
    address = context.fleet.entries[0].address
    context.fleet.wait_until(
        lambda: server_serial(address, context.authority.path) == context.serial,
        "the new certificate",
    )


@when("the certificate file of the caller listener is damaged")
def step_damage(context: Context) -> None:
    context.pair[0].write_text("damaged")


@then("the log has event 106 of the damaged file")
def step_event(context: Context) -> None:
    context.fleet.wait_until(lambda: '"event":106' in context.fleet.log("entry-0"), "the event")


@when("the entry instance is started with a certificate of another key")
def step_wrong_pair(context: Context) -> None:
    authority = make_authority(context, "operations")
    certificate, _, _ = authority.issue("a")
    _, key, _ = authority.issue("b")
    command = [sys.executable, "-m", "wasabiwell_entry.main"]
    command += ["--tls-certificate", str(certificate), "--tls-key", str(key)]
    context.finished = subprocess.run(command, capture_output=True, text=True, check=False)


@then('the entry command reports the flag "{flag}"')
def step_flag(context: Context, flag: str) -> None:
    lines = context.finished.stderr.splitlines()
    assert any(line.startswith(f"{flag}: ") for line in lines), lines


@given("two entry instances with mutual TLS between them")
def step_two_entries(context: Context) -> None:
    context.authority = make_authority(context, "operations")
    fleet = context.fleet = context.stack.enter_context(open_fleet(replace(EAVELINE, entries=2)))
    fleet.start_platform()
    proxy_address, context.proxy = fleet.start_proxy(fleet.platform.address, "platform-proxy")
    for index, platform in enumerate((None, proxy_address)):
        certificate, key, _ = context.authority.issue(f"peer-{index}")
        options = ["--peer-tls-certificate", certificate, "--peer-tls-key", key]
        options += ["--peer-tls-ca", context.authority.path]
        fleet.start_entry(index, *map(str, options), platform=platform)
    fleet.wait_until(lambda: all_alive(context), "both entry instances alive")


@when("the example is applied at the first while the other cannot reach the table service")
def step_apply_by_peers(context: Context) -> None:
    context.fleet.control(context.proxy, cut=True)
    context.fleet.apply_example()


@then("both report each other as alive and have the same active configuration")
def step_same_configuration(context: Context) -> None:
    fleet = context.fleet

    def same() -> bool:
        versions = {fleet.status(entry)["configuration_version"] for entry in fleet.entries}
        return versions == {1}

    fleet.wait_until(same, "version 1 at both", 8.0)
    assert all_alive(context)


def all_alive(context: Context) -> bool:
    """Return whether each entry instance reports the other as alive."""
    fleet = context.fleet
    expected = {entry.name: "alive" for entry in fleet.entries}
    return all(fleet.member_statuses(entry) == expected for entry in fleet.entries)
