"""Errors of the package, with one base, so that a caller can handle any fault of a zone alike."""

from __future__ import annotations

from collections.abc import Sequence


class ZoneError(ValueError):
    """A zone, a name in it or one of its records cannot be used."""


class InvalidNameError(ZoneError):
    """A text is not a domain name (RFC 1035, section 2.3.1)."""

    def __init__(self, field: str, text: str, reason: str) -> None:
        """Keeps the field that holds the text, and what is wrong with the text."""
        super().__init__(f"{field} is not a name: {text!r:.80}: {reason}")
        self.field = field
        self.text = text
        self.reason = reason


class MissingSoaError(ZoneError):
    """A version of a zone has no SOA record, so it has no serial."""

    def __init__(self, origin: str) -> None:
        """Keeps the origin of the zone."""
        super().__init__(f"zone '{origin}' has no SOA record")
        self.origin = origin


class MissingRecordError(ZoneError):
    """A difference removes a record that the zone does not have."""

    def __init__(self, owner: str, type_name: str) -> None:
        """Keeps the owner of the record and the mnemonic of its type."""
        super().__init__(f"{owner} has no such {type_name} record to be removed")
        self.owner = owner
        self.type_name = type_name


class VersionSequenceError(ZoneError):
    """A difference starts from another version than the current one."""

    def __init__(self, origin: str, old_serial: int | None, current_serial: int) -> None:
        """Keeps the serial that the difference starts from, and the current one."""
        super().__init__(f"{origin}: a change from serial {old_serial} on {current_serial}")
        self.origin = origin
        self.old_serial = old_serial
        self.current_serial = current_serial


class TooManyRecordsError(ZoneError):
    """A zone would have more records than the limit allows."""

    def __init__(self, max_records: int, origin: str = "") -> None:
        """Keeps the limit, and the origin where the caller does not add it."""
        place = f"{origin}: " if origin else ""
        super().__init__(f"{place}more than {max_records} records")
        self.max_records = max_records
        self.origin = origin


class OutOfZoneError(ZoneError):
    """A record's owner is not at or below the origin of the zone."""

    def __init__(self, owner: str, origin: str) -> None:
        """Keeps both names."""
        super().__init__(f"{owner} is not in {origin}")
        self.owner = owner
        self.origin = origin


class AliasConflictError(ZoneError):
    """A name has a CNAME record beside records of other types (RFC 1034, section 3.6.2)."""

    def __init__(self, owner: str, type_names: Sequence[str]) -> None:
        """Keeps the name and the mnemonics of the other types."""
        super().__init__(f"{owner} has a CNAME and other records: {', '.join(type_names)}")
        self.owner = owner
        self.type_names = tuple(type_names)


class ZoneFileError(ZoneError):
    """A zone file cannot be read, or what it holds cannot be served."""

    def __init__(self, path: str, reason: str, line: int | None = None) -> None:
        """Keeps the file, the line if the reason concerns one, and the reason."""
        place = path if line is None else f"{path}:{line}"
        super().__init__(f"{place}: {reason}")
        self.path = path
        self.line = line
        self.reason = reason


class UnknownVersionError(ZoneError):
    """A former version of a zone is no longer in its history."""

    def __init__(self, origin: str, serial: int, known_serials: Sequence[int]) -> None:
        """Keeps the serial that was asked for, and those that can be restored."""
        known = ", ".join(map(str, known_serials)) or "none"
        super().__init__(f"{origin} is not known as it was at serial {serial}; known: {known}")
        self.origin = origin
        self.serial = serial
        self.known_serials = tuple(known_serials)


class StoredEntryError(ZoneError):
    """An entry of the store cannot be decoded."""

    def __init__(self, reason: str) -> None:
        """Keeps what the decoder says."""
        super().__init__(f"an entry of the store can't be read: {reason}")
        self.reason = reason


class InvalidGrantError(ZoneError):
    """A name or a record type in an update grant cannot be used."""

    def __init__(self, field: str, value: str, reason: str) -> None:
        """Keeps the field, its value and what is wrong with it."""
        super().__init__(f"{field} {value!r} {reason}")
        self.field = field
        self.value = value
        self.reason = reason


class InvalidAnnouncementError(ZoneError):
    """An SRV record does not announce an endpoint of this zone."""

    def __init__(self, field: str, reason: str) -> None:
        """Keeps the part of the record that is wrong, `owner` or `target`, and why."""
        super().__init__(reason)
        self.field = field
        self.reason = reason


class SoaCountError(ZoneError):
    """A zone does not have exactly one SOA record (RFC 1035, section 5.2)."""

    def __init__(self, origin: str) -> None:
        """Keeps the origin of the zone."""
        super().__init__(f"{origin} has not exactly one SOA")
        self.origin = origin


class TransferError(ZoneError):
    """An incoming zone transfer cannot be used."""


class TransferTooLargeError(TransferError):
    """An incoming zone transfer is larger than the limit."""

    def __init__(self, max_bytes: int) -> None:
        """Keeps the limit."""
        super().__init__(f"the transfer is larger than {max_bytes} bytes")
        self.max_bytes = max_bytes


class InvalidTransferError(TransferError):
    """The messages of an incoming transfer do not make a zone."""

    def __init__(self, origin: str, reason: str) -> None:
        """Keeps the origin of the zone and what is wrong."""
        super().__init__(f"{origin}: {reason}")
        self.origin = origin
        self.reason = reason


class IncrementalTransferError(InvalidTransferError):
    """Incoming differences do not fit the current version, so the whole zone is to be transferred."""


class NoNewerVersionError(TransferError):
    """An incoming transfer brought no version."""

    def __init__(self, origin: str) -> None:
        """Keeps the origin of the zone."""
        super().__init__(f"the transfer of zone {origin!r} brought no newer version")
        self.origin = origin


class InvalidResponseError(ZoneError):
    """A response of another server cannot be used."""


class UnreadableResponseError(InvalidResponseError):
    """A response cannot be parsed, or its signature is wrong."""

    def __init__(self, error: Exception) -> None:
        """Keeps the error of the parser."""
        super().__init__(f"the response cannot be read: {type(error).__name__}: {error}")
        self.error = error


class UnsignedResponseError(InvalidResponseError):
    """The response to a signed query has no signature (RFC 8945, section 5.4)."""

    def __init__(self) -> None:
        """The message is the same for all responses."""
        super().__init__("the response to a signed query is not signed")


class UnrelatedResponseError(InvalidResponseError):
    """A message is not the response to the query."""

    def __init__(self, query_id: int, message_id: int) -> None:
        """Keeps the ids of the query and of the message."""
        super().__init__(f"message {message_id} is not a response to query {query_id}")
        self.query_id = query_id
        self.message_id = message_id


class SoaQueryError(ZoneError):
    """A primary answered a query for the SOA without one."""

    def __init__(self, origin: str, rcode: str) -> None:
        """Keeps the origin of the zone and the mnemonic of the response code."""
        super().__init__(f"the response has no SOA of zone {origin!r}: {rcode}")
        self.origin = origin
        self.rcode = rcode


class RejectedFileVersionError(ZoneError):
    """A zone file holds a version that is not accepted over the current one."""

    def __init__(self, path: str, serial: int, current_serial: int, reason: str) -> None:
        """Keeps the file, its serial, the current serial and why it is not accepted."""
        super().__init__(
            f"{path}: serial {serial} is not believed beside {current_serial}: {reason}"
        )
        self.path = path
        self.serial = serial
        self.current_serial = current_serial
        self.reason = reason


class NoStateFolderError(ZoneError):
    """The settings name no state folder, so no former version is kept."""

    def __init__(self) -> None:
        """The message is the same for all settings."""
        super().__init__("the settings name no state: no former version is kept")
