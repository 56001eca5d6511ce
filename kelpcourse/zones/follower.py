"""A secondary's side: asks primaries for the SOA, fetches what is newer, and tells secondaries of changes."""

from __future__ import annotations

import socket
from collections.abc import Callable
from functools import partial
from typing import Any

import dns.exception
import dns.flags
import dns.message
import dns.opcode
import dns.rcode
import dns.rdatatype
import dns.tsig
import dns.xfr

from kelpcourse.limits import Limits
from kelpcourse.memory.counters import Counters
from kelpcourse.wire.buffers import ReadBuffer
from kelpcourse.wire.errors import MessageTooLongError, StreamError, StreamTimeoutError
from kelpcourse.wire.loop import READ, Coroutine, Loop, Signal, Wait, WakeReason
from kelpcourse.wire.runtime import EventLog
from kelpcourse.wire.stream import address_family, connect
from kelpcourse.wire.worker import run_in_thread
from kelpcourse.zones.answer import rrset_of
from kelpcourse.zones.desk import serial_of
from kelpcourse.zones.errors import ZoneError
from kelpcourse.zones.names import to_name
from kelpcourse.zones.reconciliation import Contradiction, Verdict, Version
from kelpcourse.zones.records import SOA
from kelpcourse.zones.refresh import RefreshTimer
from kelpcourse.zones.server import MESSAGE, READ_LEAST
from kelpcourse.zones.settings import DnsPeer
from kelpcourse.zones.transfer import AXFR, IXFR, Incoming, Unfit, check_fits, offered
from kelpcourse.zones.versions import Difference, Zone
from kelpcourse.zones.zone_state import ZoneState

TOLD = (dns.exception.DNSException, ValueError, IndexError)
ASK_TRIES = 2  # over UDP before TCP is tried


class Asker:
    """Questions to other servers."""

    def __init__(self, loop: Loop, limits: Limits, counters: Counters, log: EventLog) -> None:
        self.loop = loop
        self.limits = limits
        self.counters = counters
        self.log = log

    def ask(self, query: dns.message.Message, peer: DnsPeer) -> Coroutine[dns.message.Message]:
        """The answer over UDP, or over TCP where UDP brings none. Raises Broken or ZoneError."""
        for _ in range(ASK_TRIES):
            message = yield from self.ask_udp(query, peer)
            if message is not None and not message.flags & dns.flags.TC:
                return message
            if message is not None:
                break
        session = Session(self, peer, query)
        try:
            yield from session.open()
            return (yield from session.next())[1]
        finally:
            session.close()

    def ask_udp(
        self, query: dns.message.Message, peer: DnsPeer
    ) -> Coroutine[dns.message.Message | None]:
        """None: no answer came. The port is fresh, and a connected socket hears its peer alone; what comes from
        there with another id, question or signature is somebody's guess, and the true answer is waited for."""
        try:
            sock = socket.socket(
                address_family(peer.address), socket.SOCK_DGRAM | socket.SOCK_NONBLOCK
            )
        except OSError as error:
            raise StreamError(f"no socket: {error.strerror}") from None
        try:
            sock.connect(peer.address)
            sock.send(query.to_wire())
            until_us = self.loop.clock() + self.limits.soa_query_timeout_us
            while (yield Wait(until_us, sock.fileno(), READ)) is not WakeReason.TIMED_OUT:
                message = self._believed(sock.recv(65_535), query, peer)
                if message is not None:
                    return message
                self.counters.add("zone_answers_unverified")
            return None
        except OSError:  # nobody listens there
            return None
        finally:
            sock.close()

    def _believed(
        self, wire: bytes, query: dns.message.Message, peer: DnsPeer
    ) -> dns.message.Message | None:
        try:
            message = read_answer(wire, query, peer)
            return message if query.is_response(message) else None
        except TOLD:
            return None


def read_answer(
    wire: bytes, query: dns.message.Message, peer: DnsPeer, context: Any = None, multi: bool = False
) -> dns.message.Message:
    """An answer with its signature checked, if the question had one. Raises what dnspython does."""
    ring = {peer.key.name: peer.key} if peer.key is not None else None
    message = dns.message.from_wire(
        wire,
        keyring=ring,
        request_mac=query.mac or b"",
        one_rr_per_rrset=True,
        tsig_ctx=context,
        multi=multi,
        xfr=multi,
    )
    if peer.key is not None and not multi and not message.had_tsig:
        raise ZoneError("an unsigned answer to a signed question")
    return message


def question(origin: str, rdtype: dns.rdatatype.RdataType, peer: DnsPeer) -> dns.message.Message:
    query = dns.message.make_query(to_name(origin), rdtype, flags=0)
    if peer.key is not None:
        query.use_tsig(peer.key)
    return query


class Session:
    """A question over TCP and the messages that answer it."""

    def __init__(self, asker: Asker, peer: DnsPeer, query: dns.message.Message) -> None:
        self._asker = asker
        self._peer = peer
        self._query = query
        self._buffer = ReadBuffer(READ_LEAST, MESSAGE)
        self._stream: Any = None
        self._context: Any = None

    def open(self) -> Coroutine[None]:
        clock, limits = self._asker.loop.clock, self._asker.limits
        self._stream = yield from connect(self._peer.address, clock() + limits.soa_query_timeout_us)
        wire = self._query.to_wire()
        yield from self._stream.send(
            len(wire).to_bytes(2, "big") + wire, clock() + limits.send_timeout_us
        )

    def next(self) -> Coroutine[tuple[bytes, dns.message.Message]]:
        """Raises Broken or ZoneError."""
        limits = self._asker.limits
        until_us = self._asker.loop.clock() + limits.transfer_silence_us
        while True:
            for slice_ in self._buffer.length_prefixed_messages():
                wire = bytes(slice_)
                if len(wire) <= limits.max_inline_zone_bytes:
                    return self._read(wire)
                return (yield from run_in_thread(partial(self._read, wire)))
            try:
                room = self._buffer.writable()
            except MessageTooLongError:
                raise StreamError("a message over its limit") from None
            count = yield from self._stream.recv_into(room, until_us)
            if not count:
                raise StreamError("closed before the end")
            self._buffer.commit(count)

    def _read(self, wire: bytes) -> tuple[bytes, dns.message.Message]:
        multi = self._query.question[0].rdtype in (AXFR, IXFR)
        try:
            message = read_answer(wire, self._query, self._peer, self._context, multi)
        except TOLD as error:
            raise ZoneError(
                f"an answer that can't be used: {type(error).__name__}: {error}"
            ) from None
        if message.id != self._query.id or not message.flags & dns.flags.QR:
            raise ZoneError("an answer to another question")
        self._context = message.tsig_ctx
        return wire, message

    def close(self) -> None:
        if self._stream is not None:
            self._stream.close()


class Follower:
    """Keeps one zone up with its primaries."""

    def __init__(
        self,
        asker: Asker,
        held: ZoneState,
        primaries: tuple[DnsPeer, ...],
        confirmed_us: int,
        adopt: Callable[[ZoneState, Difference, str], None],
        confirmed: Callable[[ZoneState], None],
        expired: Callable[[ZoneState], None],
    ) -> None:
        self._asker = asker
        self._held = held
        self._primaries = {str(p): p for p in primaries}
        self._refresh = RefreshTimer(asker.limits, list(self._primaries), asker.loop.clock())
        if held.zone.exists:
            self._refresh.set_soa(held.zone.soa, confirmed_us)
        self._adopt = adopt
        self._confirmed = confirmed
        self._expired = expired
        self._notified = Signal()

    def notified(self) -> None:
        self._refresh.notify(self._asker.loop.clock())
        self._notified.set()

    def run(self) -> Coroutine[None]:
        clock = self._asker.loop.clock
        while True:
            self._check_expiry()
            name = self._refresh.begin_query(clock())
            if name is None:
                ends = None if self._held.reconciler.expired else self._refresh.expires_us()
                yield Wait(
                    min(
                        self._refresh.next_due_us(),
                        ends if ends is not None else self._refresh.next_due_us(),
                    ),
                    signal=self._notified,
                )
                self._notified.clear()
                continue
            yield from self._round(self._primaries[name])

    def _check_expiry(self) -> None:
        if self._refresh.is_expired(self._asker.loop.clock()) and not self._held.reconciler.expired:
            self._held.reconciler.expire()
            self._refresh.notify(
                self._asker.loop.clock()
            )  # whatever its primaries have is news now
            self._expired(self._held)

    def _round(self, peer: DnsPeer) -> Coroutine[None]:
        log, clock = self._asker.log, self._asker.loop.clock
        try:
            verdict = yield from self._follow(peer)
        except (StreamError, ZoneError, dns.xfr.UseTCP) as error:
            self._asker.counters.add("zone_soa_queries_failed")
            self._tell(
                self._held.reconciler.source_silent(str(peer))
                if isinstance(error, StreamTimeoutError)
                else []
            )
            log.event(
                "zone_soa_query_failed",
                zone=self._held.origin,
                primary=str(peer),
                reason=str(error),
            )
            self._refresh.query_failed(clock())
            return
        if verdict.contradicts:
            self._refresh.query_failed(clock())  # another primary may know better
            return
        if self._held.zone.exists:
            self._refresh.set_soa(self._held.zone.soa, clock())
        self._refresh.query_succeeded(clock(), confirmed=True)
        self._confirmed(self._held)

    def _follow(self, peer: DnsPeer) -> Coroutine[Verdict]:
        """Asks for the SOA; fetches the zone if that is newer. What it makes of the version."""
        self._asker.counters.add("zone_soa_queries")
        query = question(self._held.origin, dns.rdatatype.SOA, peer)
        message = yield from self._asker.ask(query, peer)
        told = serial_of(message, self._held.origin)
        if message.rcode() != dns.rcode.NOERROR or told is None:
            raise ZoneError(f"no SOA of {self._held.origin}: {dns.rcode.to_text(message.rcode())}")
        verdict, contradictions = self._held.reconciler.offer(str(peer), Version(*told))
        self._tell(contradictions)
        if verdict is Verdict.NEWER:
            return (yield from self._fetch(peer))
        return verdict

    def _fetch(self, peer: DnsPeer) -> Coroutine[Verdict]:
        held = self._held
        if held.zone.exists and not held.reconciler.expired:
            try:
                return (yield from self._transfer(peer, IXFR))
            except (Unfit, ZoneError, StreamError) as error:
                self._asker.counters.add("zone_ixfr_failed")
                self._asker.log.event(
                    "zone_ixfr_failed", zone=held.origin, primary=str(peer), reason=str(error)
                )
        return (yield from self._transfer(peer, AXFR))

    def _transfer(self, peer: DnsPeer, rdtype: dns.rdatatype.RdataType) -> Coroutine[Verdict]:
        held, clock, limits = self._held, self._asker.loop.clock, self._asker.limits
        query = question(held.origin, rdtype, peer)
        if rdtype == IXFR:
            query.authority.append(rrset_of(held.origin, SOA, 0, (held.zone.soa_data,)))
        incoming = Incoming(held.zone, query, rdtype, False, limits)
        session = Session(self._asker, peer, query)
        until_us = clock() + limits.incoming_transfer_timeout_us
        try:
            yield from session.open()
            whole = False
            while not whole:
                wire, message = yield from session.next()
                # The zone held is read meanwhile and not changed: this routine alone changes it.
                whole = (
                    incoming.take(wire, message)
                    if len(wire) <= limits.max_inline_zone_bytes
                    else (yield from run_in_thread(partial(incoming.take, wire, message)))
                )
                if clock() > until_us:
                    raise StreamTimeoutError("the transfer took too long")
        finally:
            session.close()
        return self._take(peer, incoming)

    def _take(self, peer: DnsPeer, incoming: Incoming) -> Verdict:
        """The version that came is judged by itself: behind one address may stand several servers."""
        zone, draft = incoming.result()
        version = offered(zone, draft)
        if version is None:
            raise ZoneError("the transfer brought nothing newer")
        verdict, contradictions = self._held.reconciler.offer(str(peer), version)
        self._tell(contradictions)
        if verdict is not Verdict.NEWER:
            return verdict
        at_ms = 0
        if zone is not None:
            check_fits(zone)
            difference = self._held.difference_to(zone, at_ms)
        else:
            assert draft is not None
            difference = draft.difference(at_ms)
        self._asker.counters.add("zone_transfers_in")
        self._adopt(self._held, difference, str(peer))
        return verdict

    def _tell(self, contradictions: list[Contradiction]) -> None:
        for c in contradictions:
            self._asker.counters.add("zone_version_inconsistencies", int(c.begins))
            self._asker.log.always(
                "zone_versions_inconsistent" if c.begins else "zone_versions_consistent",
                zone=self._held.origin,
                primary=c.source,
                verdict=c.verdict.value,
                current=c.accepted_serial,
                received=c.offered_serial,
            )


class Notifier:
    """Tells one secondary of each new version, until it says that it heard (RFC 1996, section 3.6)."""

    def __init__(self, asker: Asker, held: ZoneState, peer: DnsPeer) -> None:
        self._asker = asker
        self._held = held
        self._peer = peer
        self._changed = Signal()

    def changed(self) -> None:
        self._changed.set()

    def run(self) -> Coroutine[None]:
        while True:
            yield Wait(signal=self._changed)
            self._changed.clear()
            yield from self._tell()

    def _tell(self) -> Coroutine[None]:
        wait_us = self._asker.limits.notify_retry_us
        for _ in range(self._asker.limits.max_notify_attempts):
            query = question(self._held.origin, dns.rdatatype.SOA, self._peer)
            query.set_opcode(dns.opcode.NOTIFY)
            query.flags |= dns.flags.AA
            query.answer.append(rrset_of(self._held.origin, SOA, 0, (self._held.zone.soa_data,)))
            self._asker.counters.add("zone_notifies_sent")
            try:
                if (yield from self._asker.ask_udp(query, self._peer)) is not None:
                    return
            except StreamError:
                pass
            woken = yield Wait(self._asker.loop.clock() + wait_us, signal=self._changed)
            if woken is WakeReason.SIGNALLED:
                return
            wait_us *= 2
        self._asker.log.event(
            "zone_notify_failed", zone=self._held.origin, secondary=str(self._peer)
        )


def same(old: Zone, new: Zone) -> bool:
    """Whether two versions hold the same records, whatever their serials."""
    return {r for r in old.records() if r.type != SOA} == {
        r for r in new.records() if r.type != SOA
    }
