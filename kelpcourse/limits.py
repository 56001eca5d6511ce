"""Every limit of the director that is not a decision: sizes, counts and times, in one place."""

from __future__ import annotations

from dataclasses import dataclass, replace


@dataclass(frozen=True)
class Limits:
    """Filled once at start and handed down. Times in microseconds, sizes in bytes."""

    # Steps
    step_batching_us: int = (
        10_000  # what arrives within this time goes into one step, also where it comes in pieces
    )
    max_timers: int = 1_000  # the module's timers that may wait

    # Routines
    coroutine_restart_us: int = 250_000  # before a routine that ended by a defect starts again

    # A configuration that can't be read may be half replaced.
    reload_retry_us: int = 2_000_000  # in which reading it is retried
    reload_retry_interval_us: int = 100_000  # between two tries

    # Listener
    max_connections: int = (
        1_024  # collectors and strangers at once, as far as descriptors are granted
    )
    listen_backlog: int = 1_024  # connections that the system holds until they are taken
    max_line_bytes: int = 1 << 20  # a message
    initial_read_buffer_bytes: int = 16 << 10  # a read buffer at first
    max_read_buffers_bytes: int = 32 << 20  # in all read buffers of the listener together
    max_unauthenticated_bytes: int = (
        512  # the read buffer of one that has not joined, and a message of its
    )
    handshake_timeout_us: int = (
        1_200_000  # from connecting to a first whole message; a collector says its zone at once
    )
    ping_client_idle_us: int = 20_000_000  # without a ping, from one that does not join
    collector_idle_us: int = 60_000_000  # without a line
    accept_retry_us: int = 50_000  # after room or descriptors ran out
    bind_retry_us: int = 100_000  # while the address is still in use

    # Reports
    max_report_window_us: int = 60_000_000  # the longest that a report may be gathered over
    max_report_attempts_per_s: int = 10_000  # that it may tell of
    max_mean_time_deadlines: float = (
        2.0  # times the longest deadline that a mean time of good answers may reach
    )
    max_checkpoints: int = 16_384  # marks remembered, of which an answer may tell

    # Outgoing connections
    connect_timeout_us: int = 150_000
    send_timeout_us: int = 1_000_000
    max_http_head_bytes: int = 16 << 10  # the head of an HTTP answer
    max_http_body_bytes: int = 8 << 20  # the body of one, or one line of a stream
    min_backoff_us: int = 20_000
    max_backoff_us: int = 100_000

    # Relay
    max_call_bytes: int = 60_000  # orders of one call
    call_timeout_us: int = 250_000  # an answer comes within 50 ms or never
    throttled_retry_us: int = 100_000  # before a call that was turned away is made again
    idle_connection_us: int = 1_000_000  # a connection is given up before the relay closes it
    event_stream_silence_us: int = 2_500_000  # a sign of life comes every second
    event_snapshot_timeout_us: int = 1_200_000  # a snapshot is whole by then, sign of life or not
    event_streams: int = 2  # at once, so that one may break without a gap
    max_buffered_events: int = 2_000  # lines by which one may be ahead of another, or four a proxy
    event_stream_overlap_us: int = (
        300_000  # by which a stream outlives another's snapshot to have told all before it
    )
    max_invalid_responses: int = (
        8  # times in a row that a call is taken for none before it is given up
    )
    max_queued_orders: int = (
        20_000  # not yet taken, or eight a proxy; hosts shut out are never given up
    )
    max_superseded_checkpoints: int = 64  # remembered of those that went out as part of a later one

    # Discovery
    list_timeout_us: int = 3_000_000  # for the first object of a watch, or a whole list
    watch_silence_us: int = (
        2_600_000  # an empty line comes every 2 s; after 6 s changes count as told, heard or not
    )
    max_stale_lists: int = (
        3  # whole lists in a row, all older than what was told, until discovery has started over
    )
    watch_retry_us: int = (
        800_000  # between two tries at an address that the watch moves to, twice as long at most
    )
    max_endpoint_names: int = (
        16_384  # hosts whose names are remembered; those listed are, however many
    )

    # Probes
    health_check_timeout_us: int = 1_000_000
    max_concurrent_health_checks: int = 16  # as many descriptors
    max_queued_health_checks: int = 4_096

    # DNS server
    max_dns_tcp_connections: int = 128  # connections at once
    dns_idle_timeout_us: int = 10_000_000  # a connection without a question
    dns_partial_message_timeout_us: int = (
        3_000_000  # a message that is not whole, or an answer that is not taken
    )
    max_dns_udp_bytes: int = (
        1_232  # an answer over UDP at most, whatever the client takes (RFC 9715)
    )
    max_dns_datagrams_per_read: int = 16  # read in one go before others have their turn
    max_pending_dns_updates: int = (
        256  # signed updates that wait to be durable, and so hold on to their answers
    )

    # Zones
    max_zone_records: int = 1_000_000
    max_zone_history_records: int = 200_000  # in differences that are remembered
    max_outgoing_zone_transfers: int = 8  # going out at once
    max_incoming_transfer_bytes: int = 256 << 20  # coming in
    incoming_transfer_timeout_us: int = 120_000_000  # coming in, all of it
    max_inline_zone_bytes: int = (
        4_096  # a message or file up to this is read in the loop, a larger one beside it
    )
    transfer_silence_us: int = 10_000_000  # between two of its messages
    soa_query_timeout_us: int = 2_000_000  # for the answer to a question over UDP
    notify_batching_us: int = 20_000  # between two rounds of questions, however many NOTIFY come
    max_notify_attempts: int = 5  # to tell a secondary of a change (RFC 1996: a few)
    notify_retry_us: int = 1_000_000  # before the second of these, and doubled each time
    min_zone_refresh_us: int = 1_000_000
    min_zone_retry_us: int = 1_000_000
    max_zone_refresh_us: int = 86_400_000_000
    zone_file_poll_us: int = 1_000_000  # between two looks at a zone file
    zone_command_poll_us: int = 200_000  # between two looks for an operator's command
    zone_confirmation_interval_us: int = (
        60_000_000  # between two notes in the store that a zone was confirmed
    )
    zone_removal_window_us: int = 3_600_000_000  # for which hosts taken away are remembered
    max_logged_zone_problems: int = 20  # told by name in one log line

    # Peers (controllers that share a fleet)
    max_peer_connections: int = 2_048  # coming in: two from each of over a thousand
    max_queued_peer_messages: int = 1_024  # messages to one peer
    max_peer_message_bytes: int = 8 << 20
    peer_handshake_timeout_us: int = 2_000_000  # until a line has said whose it is
    peer_heartbeat_us: int = 3_000_000  # without a message before a sign of life is sent
    peer_silence_timeout_us: int = 10_000_000  # of a line before it is given up

    # Store (state that survives crashes)
    max_staged_changes: int = 10_000  # changes that wait to be durable
    max_staged_bytes: int = 64 << 20
    min_compaction_bytes: int = 4 << 20  # a journal may grow to this before it is compacted,
    compaction_factor: float = 2.0  # and to so many times its snapshot
    snapshot_retry_us: int = 1_000_000  # before a new generation is tried again

    # Logs
    max_log_line_bytes: int = 4_096  # a line: what a pipe takes whole or not at all
    log_burst_lines: int = 20  # lines of one event
    log_burst_window_us: int = 10_000_000  # in this time

    def for_machine(self, sockets: int, memory_mb: int) -> Limits:
        """These limits on a machine that grants so many descriptors and so much memory."""
        return replace(
            self,
            max_connections=min(self.max_connections, max(4, sockets // 2)),
            max_concurrent_health_checks=min(
                self.max_concurrent_health_checks, max(1, sockets // 16)
            ),
            max_read_buffers_bytes=min(self.max_read_buffers_bytes, (memory_mb << 20) // 4),
        )

    def for_fleet(self, proxies: int, report_period_us: int = 0) -> Limits:
        """These limits for a fleet of so many proxies, all of which may come to this director: each may be bound,
        told of as joined, left and applied, and bring its group a table, before any of it is taken."""
        patience_us = 4 * report_period_us  # reports are late, and one may be lost
        return replace(
            self,
            max_buffered_events=max(self.max_buffered_events, 4 * proxies),
            max_queued_orders=max(self.max_queued_orders, 8 * proxies),
            max_report_window_us=max(self.max_report_window_us, patience_us),
            collector_idle_us=max(self.collector_idle_us, patience_us),
        )
