"""Errors of zones, all derived from `ZoneError`, so that a caller can handle all of them in one place."""

from __future__ import annotations

from collections.abc import Sequence


class ZoneError(ValueError):
    """Base class of the errors raised for an unusable zone, name or record."""


class InvalidNameError(ZoneError):
    """Raised for a text that is not a domain name (RFC 1035, section 2.3.1)."""

    def __init__(self, field: str, text: str, reason: str) -> None:
        """Initializes the error with the field that contains the text, the text and what is wrong with it."""
        super().__init__(f"{field} is not a domain name: {text!r:.80}: {reason}")
        self.field = field
        self.text = text
        self.reason = reason


class MissingSoaError(ZoneError):
    """Raised when a version of a zone has no SOA record and therefore no serial."""

    def __init__(self, origin: str) -> None:
        """Initializes the error with the origin of the zone."""
        super().__init__(f"zone '{origin}' has no SOA record")
        self.origin = origin


class MissingRecordError(ZoneError):
    """Raised when a difference removes a record that the zone does not have."""

    def __init__(self, owner: str, type_name: str) -> None:
        """Initializes the error with the owner of the record and the mnemonic of its type."""
        super().__init__(f"{owner} has no such {type_name} record to remove")
        self.owner = owner
        self.type_name = type_name


class VersionSequenceError(ZoneError):
    """Raised when a difference starts from a version other than the current one."""

    def __init__(self, origin: str, old_serial: int | None, current_serial: int) -> None:
        """Initializes the error with the serial from which the difference starts and the current one."""
        super().__init__(
            f"{origin}: difference starts from serial {old_serial}, current serial is {current_serial}"
        )
        self.origin = origin
        self.old_serial = old_serial
        self.current_serial = current_serial


class TooManyRecordsError(ZoneError):
    """Raised when a zone would have more records than the limit allows."""

    def __init__(self, max_records: int, origin: str = "") -> None:
        """Initializes the error with the limit, and with the origin unless the caller adds it to the text itself."""
        place = f"{origin}: " if origin else ""
        super().__init__(f"{place}more than {max_records} records")
        self.max_records = max_records
        self.origin = origin


class OutOfZoneError(ZoneError):
    """Raised when the owner of a record is not at or below the origin of the zone."""

    def __init__(self, owner: str, origin: str) -> None:
        """Initializes the error with the owner of the record and the origin of the zone."""
        super().__init__(f"{owner} is not in {origin}")
        self.owner = owner
        self.origin = origin


class AliasConflictError(ZoneError):
    """Raised when a name has a CNAME record and records of other types (RFC 1034, section 3.6.2)."""

    def __init__(self, owner: str, type_names: Sequence[str]) -> None:
        """Initializes the error with the name and the mnemonics of the other types."""
        super().__init__(f"{owner} has a CNAME and other records: {', '.join(type_names)}")
        self.owner = owner
        self.type_names = tuple(type_names)


class ZoneFileError(ZoneError):
    """Raised when a zone file cannot be read or its zone cannot be served."""

    def __init__(self, path: str, reason: str, line: int | None = None) -> None:
        """Initializes the error with the file, the reason and the line, if the reason concerns one."""
        place = path if line is None else f"{path}:{line}"
        super().__init__(f"{place}: {reason}")
        self.path = path
        self.line = line
        self.reason = reason


class UnknownVersionError(ZoneError):
    """Raised when a requested former version of a zone is not in the zone's history."""

    def __init__(self, origin: str, serial: int, known_serials: Sequence[int]) -> None:
        """Initializes the error with the requested serial and the serials that can be restored."""
        known = ", ".join(map(str, known_serials)) or "none"
        super().__init__(f"{origin}: history has no version with serial {serial}; known: {known}")
        self.origin = origin
        self.serial = serial
        self.known_serials = tuple(known_serials)


class StoredEntryError(ZoneError):
    """Raised when an entry of the store cannot be decoded."""

    def __init__(self, reason: str) -> None:
        """Initializes the error with the text of the decoder's error."""
        super().__init__(f"an entry of the store cannot be decoded: {reason}")
        self.reason = reason


class InvalidGrantError(ZoneError):
    """Raised for a name or a record type in an update grant that cannot be used."""

    def __init__(self, field: str, value: str, reason: str) -> None:
        """Initializes the error with the field, its value and what is wrong with the value."""
        super().__init__(f"{field} {value!r} {reason}")
        self.field = field
        self.value = value
        self.reason = reason


class InvalidAnnouncementError(ZoneError):
    """Raised for an SRV record that does not announce an endpoint of its zone."""

    def __init__(self, field: str, reason: str) -> None:
        """Initializes the error with the invalid part of the record, `owner` or `target`, and the reason."""
        super().__init__(reason)
        self.field = field
        self.reason = reason


class SoaCountError(ZoneError):
    """Raised when a zone does not have exactly one SOA record (RFC 1035, section 5.2)."""

    def __init__(self, origin: str) -> None:
        """Initializes the error with the origin of the zone."""
        super().__init__(f"{origin} does not have exactly one SOA record")
        self.origin = origin


class TransferError(ZoneError):
    """Base class of the errors raised for an unusable incoming zone transfer."""


class TransferTooLargeError(TransferError):
    """Raised when an incoming zone transfer is larger than the limit."""

    def __init__(self, max_bytes: int) -> None:
        """Initializes the error with the limit in bytes."""
        super().__init__(f"the transfer is larger than {max_bytes} bytes")
        self.max_bytes = max_bytes


class InvalidTransferError(TransferError):
    """Raised when the messages of an incoming transfer do not form a valid zone."""

    def __init__(self, origin: str, reason: str) -> None:
        """Initializes the error with the origin of the zone and the reason."""
        super().__init__(f"{origin}: {reason}")
        self.origin = origin
        self.reason = reason


class IncrementalTransferError(InvalidTransferError):
    """Raised when incoming differences do not apply to the current version, so a full transfer is needed."""


class NoNewerVersionError(TransferError):
    """Raised when an incoming transfer contains no newer version."""

    def __init__(self, origin: str) -> None:
        """Initializes the error with the origin of the zone."""
        super().__init__(f"the transfer of zone {origin!r} contained no newer version")
        self.origin = origin


class InvalidResponseError(ZoneError):
    """Base class of the errors raised for an unusable response of another server."""


class UnreadableResponseError(InvalidResponseError):
    """Raised for a response that cannot be parsed or whose signature is wrong."""

    def __init__(self, error: Exception) -> None:
        """Initializes the error with the exception that the parser raised."""
        super().__init__(f"the response cannot be read: {type(error).__name__}: {error}")
        self.error = error


class UnsignedResponseError(InvalidResponseError):
    """Raised when the response to a signed query has no signature (RFC 8945, section 5.4)."""

    def __init__(self) -> None:
        """Initializes the error with a fixed message."""
        super().__init__("the response to a signed query is not signed")


class UnrelatedResponseError(InvalidResponseError):
    """Raised for a message that is not the response to the query."""

    def __init__(self, query_id: int, message_id: int) -> None:
        """Initializes the error with the IDs of the query and of the message."""
        super().__init__(f"message {message_id} is not a response to query {query_id}")
        self.query_id = query_id
        self.message_id = message_id


class SoaQueryError(ZoneError):
    """Raised when a primary's response to an SOA query has an error code or no SOA record."""

    def __init__(self, origin: str, rcode: str) -> None:
        """Initializes the error with the origin of the zone and the mnemonic of the response code."""
        super().__init__(f"the response has no SOA of zone {origin!r}: {rcode}")
        self.origin = origin
        self.rcode = rcode


class RejectedFileVersionError(ZoneError):
    """Raised when the version in a zone file is not accepted in place of the current version."""

    def __init__(self, path: str, serial: int, current_serial: int, reason: str) -> None:
        """Initializes the error with the file, its serial, the current serial and the reason of the rejection."""
        super().__init__(
            f"{path}: serial {serial} is rejected, current serial is {current_serial}: {reason}"
        )
        self.path = path
        self.serial = serial
        self.current_serial = current_serial
        self.reason = reason


class NoStateFolderError(ZoneError):
    """Raised when the settings have no state folder, so that no former version is stored."""

    def __init__(self) -> None:
        """Initializes the error with a fixed message."""
        super().__init__("the settings have no state folder, so no former version is stored")


class TruncatedMessageError(ZoneError):
    """Raised when a DNS message ends within a record.

    Attributes:
        size_bytes: Size of the message, in bytes.
    """

    def __init__(self, size_bytes: int) -> None:
        """Initializes the error with the size of the message."""
        super().__init__(f"message of {size_bytes} bytes ends within a record")
        self.size_bytes = size_bytes
