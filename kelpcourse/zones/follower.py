"""The secondary's side of a zone: queries the primaries for the SOA record and transfers newer versions."""

from __future__ import annotations

from functools import partial
from typing import Protocol

import dns.rcode
import dns.rdatatype
import dns.xfr

from kelpcourse.wire.errors import StreamError, StreamTimeoutError
from kelpcourse.wire.loop import Coroutine, Signal, Wait
from kelpcourse.wire.worker import run_in_thread
from kelpcourse.zones.answer import soa_rrset
from kelpcourse.zones.dns_client import DnsClient, TcpExchange, TcpResponse, make_query, soa_version
from kelpcourse.zones.errors import (
    NoNewerVersionError,
    SoaQueryError,
    ZoneError,
)
from kelpcourse.zones.incoming_transfer import (
    IncomingTransfer,
    TransferredVersion,
    check_servable,
)
from kelpcourse.zones.reconciliation import Contradiction, Verdict
from kelpcourse.zones.refresh import RefreshTimer
from kelpcourse.zones.settings import DnsPeer
from kelpcourse.zones.transfer import AXFR, IXFR
from kelpcourse.zones.versions import Difference
from kelpcourse.zones.zone_state import ZoneState


class FollowerListener(Protocol):
    """Interface for the results of a follower's queries and transfers."""

    def version_received(self, zone: ZoneState, difference: Difference, source: str) -> None:
        """Handles a newer version that was received in full."""

    def zone_confirmed(self, zone: ZoneState) -> None:
        """Handles the confirmation that a primary has the current version."""

    def zone_expired(self, zone: ZoneState) -> None:
        """Handles a zone that no primary confirmed within the SOA's expire time."""


class ZoneFollower:
    """Keeps one zone up to date with its primaries (RFC 1034, section 4.3.5)."""

    def __init__(
        self,
        client: DnsClient,
        zone: ZoneState,
        primaries: tuple[DnsPeer, ...],
        confirmed_us: int,
        listener: FollowerListener,
    ) -> None:
        """Initializes a follower; `run` is its coroutine.

        Args:
            client: Client that sends the queries.
            zone: Zone with the stored version, if there is one.
            primaries: Servers to query.
            confirmed_us: Time in microseconds, on the loop's clock, at which a primary last confirmed the version.
            listener: Listener for newer versions, confirmations and the expiry.
        """
        self._client = client
        self._clock = client.loop.clock
        self._zone = zone
        self._primaries = {str(primary): primary for primary in primaries}
        self._timer = RefreshTimer(client.limits, list(self._primaries), self._clock())
        if zone.zone.exists:
            self._timer.set_soa(zone.zone.soa, confirmed_us)
        self._listener = listener
        self._notified = Signal()

    def notify(self) -> None:
        """Handles a NOTIFY of a primary, by which it announces a new version."""
        self._timer.notify(self._clock())
        self._notified.set()

    def run(self) -> Coroutine[None]:
        """Queries the primaries whenever a query is due."""
        while True:
            self._check_expiry()
            primary_name = self._timer.begin_query(self._clock())
            if primary_name is None:
                yield Wait(self._next_wakeup_us(), signal=self._notified)
                self._notified.clear()
            else:
                yield from self._refresh_from(self._primaries[primary_name])

    def _next_wakeup_us(self) -> int:
        expires_us = self._timer.expires_us()
        if self._zone.reconciler.expired or expires_us is None:
            return self._timer.next_due_us()
        return min(self._timer.next_due_us(), expires_us)

    def _check_expiry(self) -> None:
        if self._zone.reconciler.expired or not self._timer.is_expired(self._clock()):
            return
        self._zone.reconciler.expire()
        # An expired zone accepts any version of a primary, so the next round of queries is brought forward.
        self._timer.notify(self._clock())
        self._listener.zone_expired(self._zone)

    def _refresh_from(self, primary: DnsPeer) -> Coroutine[None]:
        try:
            verdict = yield from self._query_and_transfer(primary)
        except (StreamError, ZoneError, dns.xfr.UseTCP) as error:
            self._report_failure(primary, error)
            self._timer.query_failed(self._clock())
            return
        if verdict.contradicts:
            self._timer.query_failed(self._clock())  # another primary may have a newer version
            return
        if self._zone.zone.exists:
            self._timer.set_soa(self._zone.zone.soa, self._clock())
        self._timer.query_succeeded(self._clock(), confirmed=True)
        self._listener.zone_confirmed(self._zone)

    def _report_failure(self, primary: DnsPeer, error: Exception) -> None:
        self._client.counters.add("zone_soa_queries_failed")
        if isinstance(error, StreamTimeoutError):
            self._report(self._zone.reconciler.source_timed_out(str(primary)))
        self._client.log.event(
            "zone_soa_query_failed",
            zone=self._zone.origin,
            primary=str(primary),
            reason=str(error),
        )

    def _query_and_transfer(self, primary: DnsPeer) -> Coroutine[Verdict]:
        """Queries a primary for the SOA record, and transfers the zone if the primary has a newer version."""
        self._client.counters.add("zone_soa_queries")
        origin = self._zone.origin
        query = make_query(origin, dns.rdatatype.SOA, primary)
        response = yield from self._client.query(query, primary)
        version = soa_version(response, origin)
        if response.rcode() != dns.rcode.NOERROR or version is None:
            raise SoaQueryError(origin, dns.rcode.to_text(response.rcode()))
        verdict, contradictions = self._zone.reconciler.offer(str(primary), version)
        self._report(contradictions)
        if verdict is Verdict.NEWER:
            return (yield from self._transfer_newer(primary))
        return verdict

    def _transfer_newer(self, primary: DnsPeer) -> Coroutine[Verdict]:
        """Transfers differences, or the whole zone if the differences cannot be used."""
        if self._zone.zone.exists and not self._zone.reconciler.expired:
            try:
                return (yield from self._transfer(primary, IXFR))
            except (ZoneError, StreamError) as error:
                self._client.counters.add("zone_ixfr_failed")
                self._client.log.event(
                    "zone_ixfr_failed",
                    zone=self._zone.origin,
                    primary=str(primary),
                    reason=str(error),
                )
        return (yield from self._transfer(primary, AXFR))

    def _transfer(self, primary: DnsPeer, rdtype: dns.rdatatype.RdataType) -> Coroutine[Verdict]:
        query = make_query(self._zone.origin, rdtype, primary)
        if rdtype == IXFR:
            query.authority.append(soa_rrset(self._zone.zone))
        transfer = IncomingTransfer(self._zone.zone, rdtype, self._client.limits)
        exchange = TcpExchange(self._client, primary, query)
        deadline_us = self._clock() + self._client.limits.incoming_transfer_timeout_us
        try:
            yield from exchange.open()
            is_complete = False
            while not is_complete:
                response = yield from exchange.receive()
                is_complete = yield from self._add_message(transfer, response)
                if self._clock() > deadline_us:
                    raise StreamTimeoutError("the transfer exceeded its time limit")
        finally:
            exchange.close()
        return self._accept(primary, transfer.result())

    def _add_message(self, transfer: IncomingTransfer, response: TcpResponse) -> Coroutine[bool]:
        """Adds a message to the transfer, in a thread if it is large; returns whether the transfer is complete.

        Only this coroutine changes the zone while the thread runs.
        """
        if len(response.wire) <= self._client.limits.max_inline_zone_bytes:
            return transfer.add_message(response.wire, response.message)
        add_message = partial(transfer.add_message, response.wire, response.message)
        return (yield from run_in_thread(add_message))

    def _accept(self, primary: DnsPeer, received: TransferredVersion) -> Verdict:
        """Accepts the received version if it is newer.

        It is compared with the current version again, because several servers may share one address.
        """
        version = received.version()
        if version is None:
            raise NoNewerVersionError(self._zone.origin)
        verdict, contradictions = self._zone.reconciler.offer(str(primary), version)
        self._report(contradictions)
        if verdict is not Verdict.NEWER:
            return verdict
        difference = self._difference_to(received)
        self._client.counters.add("zone_transfers_in")
        self._listener.version_received(self._zone, difference, str(primary))
        return verdict

    def _difference_to(self, received: TransferredVersion) -> Difference:
        """Returns the difference to the received version; the listener sets the time of acceptance."""
        accepted_ms = 0
        if received.zone is not None:
            check_servable(received.zone)
            return self._zone.difference_to(received.zone, accepted_ms)
        if received.pending_version is not None:
            return received.pending_version.difference(accepted_ms)
        raise NoNewerVersionError(self._zone.origin)

    def _report(self, contradictions: list[Contradiction]) -> None:
        for contradiction in contradictions:
            self._client.counters.add("zone_version_inconsistencies", int(contradiction.begins))
            self._client.log.always(
                "zone_versions_inconsistent"
                if contradiction.begins
                else "zone_versions_consistent",
                zone=self._zone.origin,
                primary=contradiction.source,
                verdict=contradiction.verdict.value,
                current=contradiction.accepted_serial,
                received=contradiction.offered_serial,
            )
