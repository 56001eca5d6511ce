"""Processing of the messages of incoming zone transfers, AXFR (RFC 5936) and IXFR (RFC 1995), without I/O."""

from __future__ import annotations

from dataclasses import dataclass

import dns.exception
import dns.message
import dns.name
import dns.rdataclass
import dns.rdataset
import dns.rdatatype
import dns.transaction
import dns.xfr

from kelpcourse.limits import Limits
from kelpcourse.zones.errors import (
    IncrementalTransferError,
    InvalidTransferError,
    OutOfZoneError,
    SoaCountError,
    TooManyRecordsError,
    TransferTooLargeError,
    ZoneError,
)
from kelpcourse.zones.names import canonical, is_under
from kelpcourse.zones.pending_version import PendingVersion
from kelpcourse.zones.reconciliation import Version
from kelpcourse.zones.records import SOA, Record, canonical_data, soa_serial
from kelpcourse.zones.transfer import IXFR
from kelpcourse.zones.versions import Zone, build_zone


@dataclass(frozen=True)
class TransferredVersion:
    """The result of a complete transfer.

    Attributes:
        zone: The zone, if all of its records were transferred.
        pending_version: The current version with the transferred differences, if the transfer was incremental.
    """

    zone: Zone | None = None
    pending_version: PendingVersion | None = None

    def version(self) -> Version | None:
        """Returns the transferred version, to be compared with the accepted one; None if none was transferred."""
        soa_data = b""
        if self.zone is not None:
            soa_data = self.zone.soa_data
        elif self.pending_version is not None:
            soa_data = self.pending_version.soa_data
        return Version(soa_serial(soa_data), soa_data) if soa_data else None


class IncomingTransfer:
    """A transfer whose records are collected separately from the current version until it is complete."""

    def __init__(
        self,
        current: Zone,
        rdtype: dns.rdatatype.RdataType,
        limits: Limits,
    ) -> None:
        """Initializes a transfer over TCP.

        Args:
            current: Current version of the zone.
            rdtype: Record type of the query, AXFR or IXFR.
            limits: Limits on the size of the transfer and of the zone.
        """
        self._origin = current.origin
        self._max_bytes = limits.max_incoming_transfer_bytes
        self._received_bytes = 0
        self._collector = _RecordCollector(current, limits.max_zone_records)
        serial = current.serial if current.exists and rdtype == IXFR else None
        self._inbound = dns.xfr.Inbound(
            self._collector, rdtype, serial, False, raise_on_serial_went_backwards=False
        )

    def add_message(self, wire: bytes, message: dns.message.Message) -> bool:
        """Processes the next message and returns whether the transfer is complete.

        Raises:
            IncrementalTransferError: The differences do not apply to the current version.
            ZoneError: The transfer cannot be used.
            dns.xfr.UseTCP: The primary requests a query over TCP.
        """
        self._received_bytes += len(wire)
        if self._received_bytes > self._max_bytes:
            raise TransferTooLargeError(self._max_bytes)
        try:
            return bool(self._inbound.process_message(message))
        except (dns.xfr.UseTCP, ZoneError):
            raise
        except (dns.exception.DNSException, ValueError, KeyError) as error:
            reason = f"{type(error).__name__}: {error}"
            if self._inbound.incremental:
                raise IncrementalTransferError(self._origin, reason) from error
            raise InvalidTransferError(self._origin, reason) from error

    def result(self) -> TransferredVersion:
        """Returns the result, which has neither a zone nor differences if the primary has no newer version."""
        return self._collector.result()


class _RecordCollector(dns.transaction.TransactionManager):
    """The methods of a transaction that dnspython calls during a transfer."""

    def __init__(self, current: Zone, max_records: int) -> None:
        self._current = current
        self._max_records = max_records
        self._origin_name = dns.name.from_text(current.origin)
        self._records: list[Record] | None = None
        self._pending_version: PendingVersion | None = None
        self._is_committed = False

    def origin_information(self) -> tuple[dns.name.Name, bool, dns.name.Name]:
        return self._origin_name, False, self._origin_name

    def get_class(self) -> dns.rdataclass.RdataClass:
        return dns.rdataclass.IN

    def reader(self) -> dns.transaction.Transaction:
        raise NotImplementedError

    def writer(self, replacement: bool = False) -> _RecordCollector:  # type: ignore[override]
        self._records = [] if replacement else None
        self._pending_version = None if replacement else PendingVersion(self._current)
        return self

    def add(self, name: dns.name.Name, rdataset: dns.rdataset.Rdataset) -> None:
        owner = canonical(name)
        if not is_under(owner, self._current.origin):
            raise OutOfZoneError(owner, self._current.origin)
        for rdata in rdataset:
            record = Record(owner, int(rdataset.rdtype), int(rdataset.ttl), canonical_data(rdata))
            if self._records is not None:
                self._records.append(record)
                if len(self._records) > self._max_records:
                    raise TooManyRecordsError(self._max_records)
            elif self._pending_version is not None:
                self._pending_version.add(record)

    def replace(self, name: dns.name.Name, rdataset: dns.rdataset.Rdataset) -> None:
        """Replaces a record set; dnspython calls it for the SOA record of the new version only."""
        if self._pending_version is not None:
            self._pending_version.remove_set(canonical(name), int(rdataset.rdtype))
        self.add(name, rdataset)

    def delete_exact(self, name: dns.name.Name, rdataset: dns.rdataset.Rdataset) -> None:
        """Deletes records; dnspython calls it for differences only."""
        pending_version = self._pending_version
        for rdata in rdataset:
            is_removed = pending_version is not None and pending_version.remove(
                canonical(name), int(rdataset.rdtype), canonical_data(rdata)
            )
            if not is_removed:
                raise IncrementalTransferError(str(name), "no such record to remove")

    def commit(self) -> None:
        self._is_committed = True

    def rollback(self) -> None:
        self._records = None
        self._pending_version = None

    def result(self) -> TransferredVersion:
        if not self._is_committed:
            return TransferredVersion()
        if self._records is not None:
            return TransferredVersion(zone=build_zone(self._current.origin, self._records))
        return TransferredVersion(pending_version=self._pending_version)


def check_servable(zone: Zone) -> None:
    """Checks whether a completely transferred zone can be served.

    Raises:
        SoaCountError: The zone does not have exactly one SOA record.
    """
    record_set = zone.record_set(zone.origin, SOA)
    if record_set is None or len(record_set.data) != 1:
        raise SoaCountError(zone.origin)
