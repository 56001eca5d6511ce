"""Certificates of a fleet's own: one authority, a certificate for each member, and when they end."""

from __future__ import annotations

import datetime
import os
import ssl
from pathlib import Path

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import ExtendedKeyUsageOID, NameOID

CA_DAYS = 3650
MEMBER_DAYS = 365
BACKDATED = datetime.timedelta(minutes=5)  # clocks differ


class BadKeys(ValueError):
    """A certificate or key that can't be used."""


def _name(text: str) -> x509.Name:
    return x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, text)])


def _write(path: Path, data: bytes, secret: bool) -> None:
    """Never over an existing one: a lost authority can't be made again."""
    flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL
    try:
        fd = os.open(path, flags, 0o600 if secret else 0o644)
    except FileExistsError:
        raise BadKeys(f"{path} is there already") from None
    with open(fd, "wb") as file:
        file.write(data)


def _private(key: ec.EllipticCurvePrivateKey) -> bytes:
    return key.private_bytes(
        serialization.Encoding.PEM, serialization.PrivateFormat.PKCS8, serialization.NoEncryption()
    )


def _builder(
    subject: str,
    issuer: x509.Name,
    key: ec.EllipticCurvePublicKey,
    days: int,
    now: datetime.datetime,
) -> x509.CertificateBuilder:
    return (
        x509.CertificateBuilder()
        .subject_name(_name(subject))
        .issuer_name(issuer)
        .public_key(key)
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - BACKDATED)
        .not_valid_after(now + datetime.timedelta(days=days))
    )


def make_authority(folder: Path, name: str = "kelpcourse fleet") -> None:
    """`ca.pem` and `ca.key`. Raises BadKeys."""
    key, now = ec.generate_private_key(ec.SECP256R1()), datetime.datetime.now(datetime.UTC)
    usage = x509.KeyUsage(False, False, False, False, False, True, True, False, False)
    made = (
        _builder(name, _name(name), key.public_key(), CA_DAYS, now)
        .add_extension(x509.BasicConstraints(True, 0), True)
        .add_extension(usage, True)
        .add_extension(x509.SubjectKeyIdentifier.from_public_key(key.public_key()), False)
        .sign(key, hashes.SHA256())
    )
    _write(folder / "ca.key", _private(key), True)
    _write(folder / "ca.pem", made.public_bytes(serialization.Encoding.PEM), False)


def make_member(folder: Path, name: str, days: int = MEMBER_DAYS, into: Path | None = None) -> None:
    """`NAME.pem` and `NAME.key` by the authority in the folder. Raises BadKeys."""
    try:
        authority = x509.load_pem_x509_certificate((folder / "ca.pem").read_bytes())
        signer = serialization.load_pem_private_key((folder / "ca.key").read_bytes(), None)
    except (OSError, ValueError) as error:
        raise BadKeys(f"{folder}: no authority: {error}") from None
    if not isinstance(signer, ec.EllipticCurvePrivateKey):
        raise BadKeys(f"{folder / 'ca.key'}: not a key of this kind")
    key, now = ec.generate_private_key(ec.SECP256R1()), datetime.datetime.now(datetime.UTC)
    uses = x509.ExtendedKeyUsage([ExtendedKeyUsageOID.CLIENT_AUTH, ExtendedKeyUsageOID.SERVER_AUTH])
    made = (
        _builder(name, authority.subject, key.public_key(), days, now)
        .add_extension(x509.SubjectAlternativeName([x509.DNSName(name)]), False)
        .add_extension(x509.BasicConstraints(False, None), True)
        .add_extension(uses, False)
        .add_extension(
            x509.AuthorityKeyIdentifier.from_issuer_public_key(signer.public_key()), False
        )
        .sign(signer, hashes.SHA256())
    )
    into = into or folder
    _write(into / f"{name}.key", _private(key), True)
    _write(into / f"{name}.pem", made.public_bytes(serialization.Encoding.PEM), False)


def days_left(certificate: Path) -> float:
    """Raises BadKeys."""
    try:
        ends = x509.load_pem_x509_certificate(certificate.read_bytes()).not_valid_after_utc
    except (OSError, ValueError) as error:
        raise BadKeys(f"{certificate}: {error}") from None
    return (ends - datetime.datetime.now(datetime.UTC)).total_seconds() / 86_400


def context(server: bool, authority: Path, certificate: Path, key: Path) -> ssl.SSLContext:
    """Both sides show a certificate of the authority; nothing older than TLS 1.3. Raises BadKeys."""
    made = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER if server else ssl.PROTOCOL_TLS_CLIENT)
    made.minimum_version = ssl.TLSVersion.TLSv1_3
    made.verify_mode = ssl.CERT_REQUIRED
    made.check_hostname = not server
    try:
        made.load_verify_locations(authority)
        made.load_cert_chain(certificate, key)
    except (OSError, ssl.SSLError) as error:
        raise BadKeys(f"{certificate}: {error}") from None
    return made
