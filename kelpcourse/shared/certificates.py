"""Creation and loading of the certificates of controllers and of the fleet's own certificate authority."""

from __future__ import annotations

import datetime
import os
import ssl
from pathlib import Path

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import ExtendedKeyUsageOID, NameOID

from kelpcourse.shared.errors import CertificateError

AUTHORITY_CERTIFICATE = "ca.pem"
AUTHORITY_KEY = "ca.key"
AUTHORITY_VALIDITY_DAYS = 3650
MEMBER_VALIDITY_DAYS = 365
# The validity of a certificate starts this long before its creation, because clocks differ.
CLOCK_SKEW_ALLOWANCE = datetime.timedelta(minutes=5)
SECONDS_PER_DAY = 86_400
PRIVATE_KEY_MODE = 0o600
CERTIFICATE_MODE = 0o644


def create_authority(folder: Path, name: str = "kelpcourse fleet") -> None:
    """Writes the authority's certificate `ca.pem` and its private key `ca.key`.

    Raises:
        CertificateError: One of the files exists.
    """
    key = ec.generate_private_key(ec.SECP256R1())
    now = datetime.datetime.now(datetime.UTC)
    usage = x509.KeyUsage(
        digital_signature=False,
        content_commitment=False,
        key_encipherment=False,
        data_encipherment=False,
        key_agreement=False,
        key_cert_sign=True,
        crl_sign=True,
        encipher_only=False,
        decipher_only=False,
    )
    certificate = (
        _builder(name, _common_name(name), key.public_key(), AUTHORITY_VALIDITY_DAYS, now)
        .add_extension(x509.BasicConstraints(ca=True, path_length=0), critical=True)
        .add_extension(usage, critical=True)
        .add_extension(x509.SubjectKeyIdentifier.from_public_key(key.public_key()), critical=False)
        .sign(key, hashes.SHA256())
    )
    _write_pair(folder / AUTHORITY_KEY, key, folder / AUTHORITY_CERTIFICATE, certificate)


def create_member_certificate(
    authority_folder: Path,
    name: str,
    days: int = MEMBER_VALIDITY_DAYS,
    target_folder: Path | None = None,
) -> None:
    """Writes the certificate `NAME.pem`, signed by the authority, and its private key `NAME.key`.

    Raises:
        CertificateError: The authority can't be read, or one of the files exists.
    """
    authority, signer = _load_authority(authority_folder)
    key = ec.generate_private_key(ec.SECP256R1())
    now = datetime.datetime.now(datetime.UTC)
    uses = x509.ExtendedKeyUsage([ExtendedKeyUsageOID.CLIENT_AUTH, ExtendedKeyUsageOID.SERVER_AUTH])
    issuer_key_id = x509.AuthorityKeyIdentifier.from_issuer_public_key(signer.public_key())
    certificate = (
        _builder(name, authority.subject, key.public_key(), days, now)
        .add_extension(x509.SubjectAlternativeName([x509.DNSName(name)]), critical=False)
        .add_extension(x509.BasicConstraints(ca=False, path_length=None), critical=True)
        .add_extension(uses, critical=False)
        .add_extension(issuer_key_id, critical=False)
        .sign(signer, hashes.SHA256())
    )
    folder = target_folder or authority_folder
    _write_pair(folder / f"{name}.key", key, folder / f"{name}.pem", certificate)


def expiry_of(certificate: Path) -> datetime.datetime:
    """Returns the time at which a certificate expires.

    Raises:
        CertificateError: The file can't be read.
    """
    try:
        return x509.load_pem_x509_certificate(certificate.read_bytes()).not_valid_after_utc
    except (OSError, ValueError) as error:
        raise CertificateError(f"{certificate}: {error}") from error


def days_until(expiry: datetime.datetime, now: datetime.datetime) -> float:
    """Returns the days between a time and the expiry of a certificate; negative if it has expired."""
    return (expiry - now).total_seconds() / SECONDS_PER_DAY


def tls_context(is_server: bool, authority: Path, certificate: Path, key: Path) -> ssl.SSLContext:
    """Returns a context for TLS 1.3 or later in which both sides must present a certificate of the authority.

    Raises:
        CertificateError: A file can't be read or used.
    """
    protocol = ssl.PROTOCOL_TLS_SERVER if is_server else ssl.PROTOCOL_TLS_CLIENT
    context = ssl.SSLContext(protocol)
    context.minimum_version = ssl.TLSVersion.TLSv1_3
    context.verify_mode = ssl.CERT_REQUIRED
    context.check_hostname = not is_server
    try:
        context.load_verify_locations(authority)
        context.load_cert_chain(certificate, key)
    except (OSError, ssl.SSLError) as error:
        raise CertificateError(f"{certificate}: {error}") from error
    return context


def _common_name(text: str) -> x509.Name:
    return x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, text)])


def _builder(
    subject: str,
    issuer: x509.Name,
    key: ec.EllipticCurvePublicKey,
    days: int,
    now: datetime.datetime,
) -> x509.CertificateBuilder:
    return (
        x509.CertificateBuilder()
        .subject_name(_common_name(subject))
        .issuer_name(issuer)
        .public_key(key)
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - CLOCK_SKEW_ALLOWANCE)
        .not_valid_after(now + datetime.timedelta(days=days))
    )


def _load_authority(folder: Path) -> tuple[x509.Certificate, ec.EllipticCurvePrivateKey]:
    key_path = folder / AUTHORITY_KEY
    try:
        authority = x509.load_pem_x509_certificate((folder / AUTHORITY_CERTIFICATE).read_bytes())
        signer = serialization.load_pem_private_key(key_path.read_bytes(), None)
    except (OSError, ValueError) as error:
        raise CertificateError(f"{folder}: authority can't be read: {error}") from error
    if not isinstance(signer, ec.EllipticCurvePrivateKey):
        raise CertificateError(f"{key_path}: not an elliptic curve key")
    return authority, signer


def _write_pair(
    key_path: Path,
    key: ec.EllipticCurvePrivateKey,
    certificate_path: Path,
    certificate: x509.Certificate,
) -> None:
    private = key.private_bytes(
        serialization.Encoding.PEM, serialization.PrivateFormat.PKCS8, serialization.NoEncryption()
    )
    _write_new(key_path, private, PRIVATE_KEY_MODE)
    _write_new(
        certificate_path, certificate.public_bytes(serialization.Encoding.PEM), CERTIFICATE_MODE
    )


def _write_new(path: Path, data: bytes, mode: int) -> None:
    """Writes a new file; never replaces one, because a lost authority can't be created again."""
    try:
        fd = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL, mode)
    except FileExistsError as error:
        raise CertificateError(f"{path} already exists") from error
    with open(fd, "wb") as file:
        file.write(data)
