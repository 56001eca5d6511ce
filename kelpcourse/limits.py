"""Every limit of the director that is not a decision: sizes, counts and times, in one place."""

from __future__ import annotations

from dataclasses import dataclass, replace


@dataclass(frozen=True)
class Limits:
    """Filled once at start and handed down. Times in microseconds, sizes in bytes."""

    # Steps
    gather_us: int = (
        10_000  # what arrives within this time goes into one step, also where it comes in pieces
    )
    timers: int = 1_000  # the module's timers that may wait

    # Routines
    restart_us: int = 250_000  # before a routine that ended by a defect starts again

    reload_us: int = 2_000_000  # in which a configuration that can't be read is tried again: it may be half replaced
    reload_wait_us: int = 100_000  # between two tries

    # Listener
    connections: int = 1_024  # collectors and strangers at once, as far as descriptors are granted
    listen_queue: int = 1_024  # connections that the system holds until they are taken
    line_bytes: int = 1 << 20  # a message
    read_bytes: int = 16 << 10  # a read buffer at first
    held_bytes: int = 32 << 20  # in all read buffers of the listener together
    stranger_bytes: int = 512  # the read buffer of one that has not joined, and a message of its
    join_us: int = (
        1_200_000  # from connecting to a first whole message; a collector says its zone at once
    )
    pinger_us: int = 20_000_000  # without a ping, from one that does not join
    collector_us: int = 60_000_000  # without a line
    accept_wait_us: int = 50_000  # after room or descriptors ran out
    bind_wait_us: int = 100_000  # while the address is still in use

    # Reports
    window_us: int = 60_000_000  # the longest that a report may be gathered over
    tries_per_s: int = 10_000  # that it may tell of
    late_aims: float = 2.0  # times the longest deadline that a mean time of good answers may reach
    stamps: int = 16_384  # marks remembered, of which an answer may tell

    # Outgoing connections
    connect_us: int = 150_000
    send_us: int = 1_000_000
    head_bytes: int = 16 << 10  # the head of an HTTP answer
    body_bytes: int = 8 << 20  # the body of one, or one line of a stream
    backoff_least_us: int = 20_000
    backoff_most_us: int = 100_000

    # Relay
    call_bytes: int = 60_000  # orders of one call
    answer_us: int = 250_000  # an answer comes within 50 ms or never
    throttled_us: int = 100_000  # before a call that was turned away is made again
    idle_us: int = 1_000_000  # a connection is given up before the relay closes it
    news_silence_us: int = 2_500_000  # a sign of life comes every second
    news_settle_us: int = 1_200_000  # a snapshot is whole by then, sign of life or not
    news_streams: int = 2  # at once, so that one may break without a gap
    news_ahead: int = 2_000  # lines by which one may be ahead of another, or four a proxy
    news_cover_us: int = (
        300_000  # by which a stream outlives another's snapshot to have told all before it
    )
    invalid_most: int = 8  # times in a row that a call is taken for none before it is given up
    orders: int = 20_000  # not yet taken, or eight a proxy; hosts shut out are never given up
    marks: int = 64  # remembered of those that went out as part of a later one

    # Discovery
    list_us: int = 3_000_000  # for the first object of a watch, or a whole list
    watch_silence_us: int = (
        2_600_000  # an empty line comes every 2 s; after 6 s changes count as told, heard or not
    )
    older_most: int = (
        3  # whole lists in a row, all older than what was told, until discovery has started over
    )
    watch_wait_us: int = (
        800_000  # between two tries at an address that the watch moves to, twice as long at most
    )
    names: int = 16_384  # hosts whose names are remembered; those listed are, however many

    # Probes
    probe_us: int = 1_000_000
    probes_at_once: int = 16  # as many descriptors
    probes_waiting: int = 4_096

    # DNS server
    dns_tcp: int = 128  # connections at once
    dns_idle_us: int = 10_000_000  # a connection without a question
    dns_half_us: int = 3_000_000  # a message that is not whole, or an answer that is not taken
    dns_udp_bytes: int = 1_232  # an answer over UDP at most, whatever the client takes (RFC 9715)
    dns_datagrams: int = 16  # read in one go before others have their turn
    dns_updates: int = (
        256  # signed updates that wait to be durable, and so hold on to their answers
    )

    # Zones
    zone_records: int = 1_000_000
    zone_history_records: int = 200_000  # in differences that are remembered
    zone_transfers: int = 8  # going out at once
    zone_transfer_bytes: int = 256 << 20  # coming in
    zone_transfer_us: int = 120_000_000  # coming in, all of it
    zone_inline_bytes: int = (
        4_096  # a message or file up to this is read in the loop, a larger one beside it
    )
    zone_silence_us: int = 10_000_000  # between two of its messages
    zone_ask_us: int = 2_000_000  # for the answer to a question over UDP
    zone_notify_us: int = 20_000  # between two rounds of questions, however many NOTIFY come
    zone_notify_tries: int = 5  # to tell a secondary of a change (RFC 1996: a few)
    zone_notify_wait_us: int = 1_000_000  # before the second of these, and doubled each time
    zone_refresh_least_us: int = 1_000_000
    zone_retry_least_us: int = 1_000_000
    zone_refresh_most_us: int = 86_400_000_000
    zone_file_us: int = 1_000_000  # between two looks at a zone file
    zone_command_us: int = 200_000  # between two looks for an operator's command
    zone_seen_us: int = 60_000_000  # between two notes in the store that a zone was confirmed
    zone_losses_us: int = 3_600_000_000  # for which hosts taken away are remembered
    zone_problems: int = 20  # told by name in one log line

    # Peers (controllers that share a fleet)
    peer_connections: int = 2_048  # coming in: two from each of over a thousand
    peer_waiting: int = 1_024  # messages to one peer
    peer_message_bytes: int = 8 << 20
    peer_handshake_us: int = 2_000_000  # until a line has said whose it is
    peer_sign_us: int = 3_000_000  # without a message before a sign of life is sent
    peer_silence_us: int = 10_000_000  # of a line before it is given up

    # Store (state that survives crashes)
    store_staged: int = 10_000  # changes that wait to be durable
    store_staged_bytes: int = 64 << 20
    store_journal_bytes: int = 4 << 20  # a journal may grow to this before it is compacted,
    store_journal_factor: float = 2.0  # and to so many times its snapshot
    store_retry_us: int = 1_000_000  # before a new generation is tried again

    # Logs
    log_bytes: int = 4_096  # a line: what a pipe takes whole or not at all
    log_burst: int = 20  # lines of one event
    log_span_us: int = 10_000_000  # in this time

    def within(self, sockets: int, memory_mb: int) -> Limits:
        """These limits on a machine that grants so many descriptors and so much memory."""
        return replace(
            self,
            connections=min(self.connections, max(4, sockets // 2)),
            probes_at_once=min(self.probes_at_once, max(1, sockets // 16)),
            held_bytes=min(self.held_bytes, (memory_mb << 20) // 4),
        )

    def serving(self, proxies: int, report_period_us: int = 0) -> Limits:
        """These limits for a fleet of so many proxies, all of which may come to this director: each may be bound,
        told of as joined, left and applied, and bring its group a table, before any of it is taken."""
        patience_us = 4 * report_period_us  # reports are late, and one may be lost
        return replace(
            self,
            news_ahead=max(self.news_ahead, 4 * proxies),
            orders=max(self.orders, 8 * proxies),
            window_us=max(self.window_us, patience_us),
            collector_us=max(self.collector_us, patience_us),
        )
