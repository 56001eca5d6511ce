"""Files with the secret of a TSIG key (RFC 8945), in base64."""

from __future__ import annotations

import base64
import binascii
import stat
from pathlib import Path

from kelpcourse.zones.errors import ZoneError

MIN_SECRET_BYTES = 16  # shorter ones can be guessed


class SecretFileError(ZoneError):
    """The secret of a key cannot be read, or must not be used."""

    def __init__(self, file: str, reason: str) -> None:
        """Keeps the file as it is named in the settings, and the reason."""
        super().__init__(f"{file}: {reason}")
        self.file = file
        self.reason = reason


def read_secret(path: Path, file: str) -> bytes:
    """Reads a secret; `file` is how the settings name the path.

    Raises:
        SecretFileError: the file cannot be read, others may read it, or its secret is malformed
            or too short.
    """
    try:
        mode = path.stat().st_mode
        text = path.read_bytes()
    except OSError as error:
        raise SecretFileError(file, str(error.strerror)) from error
    if mode & (stat.S_IRWXG | stat.S_IRWXO):
        reason = f"others may read it (mode {stat.S_IMODE(mode):04o}): chmod 600"
        raise SecretFileError(file, reason)
    try:
        secret = base64.b64decode(text.strip(), validate=True)
    except binascii.Error as error:
        raise SecretFileError(file, "not the base64 of a secret alone") from error
    if len(secret) < MIN_SECRET_BYTES:
        raise SecretFileError(file, f"{len(secret)} bytes, {MIN_SECRET_BYTES} at least")
    return secret
