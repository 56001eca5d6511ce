"""Files that contain the secret of a TSIG key (RFC 8945), in base64."""

from __future__ import annotations

import base64
import binascii
import stat
from pathlib import Path

from kelpcourse.zones.errors import ZoneError

MIN_SECRET_BYTES = 16  # shorter secrets can be guessed


class SecretFileError(ZoneError):
    """Raised when the secret of a key cannot be read or must not be used."""

    def __init__(self, file: str, reason: str) -> None:
        """Initializes the error with the file, as it is named in the settings, and the reason."""
        super().__init__(f"{file}: {reason}")
        self.file = file
        self.reason = reason


def read_secret(path: Path, file: str) -> bytes:
    """Reads a secret.

    Args:
        path: Path of the file.
        file: Name of the file in the settings, for the error message.

    Raises:
        SecretFileError: The file cannot be read, other users may read it, or its secret is malformed or too short.
    """
    try:
        mode = path.stat().st_mode
        text = path.read_bytes()
    except OSError as error:
        raise SecretFileError(file, str(error.strerror)) from error
    if mode & (stat.S_IRWXG | stat.S_IRWXO):
        reason = f"readable by other users (mode {stat.S_IMODE(mode):04o}): run chmod 600"
        raise SecretFileError(file, reason)
    try:
        secret = base64.b64decode(text.strip(), validate=True)
    except binascii.Error as error:
        raise SecretFileError(file, "must contain only a secret in base64") from error
    if len(secret) < MIN_SECRET_BYTES:
        raise SecretFileError(
            file, f"the secret has {len(secret)} bytes instead of at least {MIN_SECRET_BYTES}"
        )
    return secret
