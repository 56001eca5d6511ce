"""Every limit that is not a decision of the policy: sizes, counts and times, grouped by component.

Times are in microseconds, sizes in bytes. A component is handed `Limits`, which has the fields of all groups.
The groups alone are never constructed, so that no methods are generated for them at start.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

# Parts of what the machine grants.
CONNECTION_SOCKET_DIVISOR = 2
HEALTH_CHECK_SOCKET_DIVISOR = 16
READ_BUFFER_MEMORY_DIVISOR = 4
MIN_CONNECTIONS = 4
BUFFERED_EVENTS_PER_PROXY = 4
QUEUED_ORDERS_PER_PROXY = 8
REPORT_TIMEOUT_PERIODS = 4  # reports are late, and one may be lost


@dataclass(frozen=True, init=False, repr=False, eq=False)
class ProcessLimits:
    """Steps of the policy, supervised coroutines, reloads and the log."""

    step_batching_us: int = 10_000  # what arrives within this time goes into one step
    max_timers: int = 1_000  # that the policy may have pending
    coroutine_restart_us: int = 250_000  # before a coroutine that ended by an error is restarted

    # A configuration that can't be read may be half replaced.
    reload_retry_us: int = 2_000_000  # in which reading it is retried
    reload_retry_interval_us: int = 100_000

    max_log_line_bytes: int = 4_096  # what a pipe takes whole or not at all
    log_burst_lines: int = 20  # of one event
    log_burst_window_us: int = 10_000_000


@dataclass(frozen=True, init=False, repr=False, eq=False)
class ListenerLimits:
    """Connections of report collectors and of clients that only ping."""

    max_connections: int = 1_024
    listen_backlog: int = 1_024  # connections that the system holds until they are accepted
    max_line_bytes: int = 1 << 20  # of a message
    initial_read_buffer_bytes: int = 16 << 10
    max_read_buffers_bytes: int = 32 << 20  # of all connections together
    max_unauthenticated_bytes: int = 512  # read buffer and message of an unauthenticated client
    handshake_timeout_us: int = 1_200_000  # from connecting to the first complete message
    ping_client_idle_us: int = 20_000_000  # between the pings of a client that does not join
    collector_idle_us: int = 60_000_000  # between the lines of a collector
    accept_retry_us: int = 50_000  # after capacity or descriptors ran out
    bind_retry_us: int = 100_000  # while the address is still in use


@dataclass(frozen=True, init=False, repr=False, eq=False)
class ReportLimits:
    """Figures of reports."""

    max_report_window_us: int = 60_000_000
    max_report_attempts_per_s: int = 10_000
    max_mean_time_deadline_ratio: float = 2.0  # mean time of successes, in longest deadlines
    max_checkpoints: int = 16_384  # remembered, of which a proxy may acknowledge one


@dataclass(frozen=True, init=False, repr=False, eq=False)
class ClientLimits:
    """Outgoing connections."""

    connect_timeout_us: int = 150_000
    send_timeout_us: int = 1_000_000
    max_http_head_bytes: int = 16 << 10
    max_http_body_bytes: int = 8 << 20  # of a response, or of one line of a stream
    min_backoff_us: int = 20_000
    max_backoff_us: int = 100_000


@dataclass(frozen=True, init=False, repr=False, eq=False)
class RelayLimits:
    """Calls to the relay, its event streams, and the orders that wait for it."""

    max_call_bytes: int = 60_000
    call_timeout_us: int = 250_000  # an answer comes within 50 ms or never
    throttled_retry_us: int = 100_000
    idle_connection_us: int = 1_000_000  # a connection is closed before the relay closes it
    event_stream_silence_us: int = 2_500_000  # a heartbeat comes every second
    event_snapshot_timeout_us: int = 1_200_000  # by then a snapshot counts as complete
    event_streams: int = 2  # so that one may break without a gap
    max_buffered_events: int = 2_000  # by which one stream may be ahead of another
    event_stream_overlap_us: int = 300_000  # for which a stream outlives the snapshot of another
    max_invalid_responses: int = 8  # in a row, before the first order of a call is dropped
    max_queued_orders: int = 20_000  # beyond it the oldest are dropped, but no withdrawal
    max_superseded_checkpoints: int = 64  # remembered


@dataclass(frozen=True, init=False, repr=False, eq=False)
class DiscoveryLimits:
    """The watch of the endpoint list."""

    list_timeout_us: int = 3_000_000  # for the first object of a watch, or a complete list
    watch_silence_us: int = 2_600_000  # an empty line comes every 2 s
    max_stale_lists: int = 3  # complete lists in a row, until discovery has started over
    watch_retry_us: int = 800_000  # at a new address, and twice as long at most
    max_endpoint_names: int = 16_384  # remembered; those listed are, however many


@dataclass(frozen=True, init=False, repr=False, eq=False)
class HealthCheckLimits:
    """Health checks of endpoints."""

    health_check_timeout_us: int = 1_000_000
    max_concurrent_health_checks: int = 16  # as many descriptors
    max_queued_health_checks: int = 4_096


@dataclass(frozen=True, init=False, repr=False, eq=False)
class DnsServerLimits:
    """The server for DNS queries and updates."""

    max_dns_tcp_connections: int = 128
    dns_idle_timeout_us: int = 10_000_000  # between the queries of a connection
    dns_partial_message_timeout_us: int = 3_000_000  # to complete a message, or take an answer
    max_dns_udp_bytes: int = 1_232  # of an answer, whatever the client takes (RFC 9715)
    max_dns_datagrams_per_read: int = 16  # before other coroutines have their turn
    max_pending_dns_updates: int = 256  # signed updates that wait to be durable


@dataclass(frozen=True, init=False, repr=False, eq=False)
class ZoneLimits:
    """Zones: their size, transfers, files and commands."""

    max_zone_records: int = 1_000_000
    max_zone_history_records: int = 200_000  # in the differences that are remembered
    max_outgoing_zone_transfers: int = 8  # at once
    max_incoming_transfer_bytes: int = 256 << 20
    incoming_transfer_timeout_us: int = 120_000_000
    max_inline_zone_bytes: int = 4_096  # larger messages and files are read in a thread
    transfer_silence_us: int = 10_000_000  # between two messages of a transfer
    soa_query_timeout_us: int = 2_000_000  # over UDP
    notify_batching_us: int = 20_000  # between two rounds of queries, however many NOTIFY come
    max_notify_attempts: int = 5  # for each secondary (RFC 1996: a few)
    notify_retry_us: int = 1_000_000  # before the second attempt, and doubled each time
    min_zone_refresh_us: int = 1_000_000
    min_zone_retry_us: int = 1_000_000
    max_zone_refresh_us: int = 86_400_000_000
    zone_file_poll_us: int = 1_000_000
    zone_command_poll_us: int = 200_000
    zone_confirmation_interval_us: int = 60_000_000  # between two stored confirmations of a zone
    zone_removal_window_us: int = 3_600_000_000  # in which removed endpoints are counted
    max_logged_zone_problems: int = 20  # in one log line


@dataclass(frozen=True, init=False, repr=False, eq=False)
class PeerLimits:
    """Connections between controllers that share a fleet."""

    max_peer_connections: int = 2_048  # incoming: two from each of over a thousand
    max_queued_peer_messages: int = 1_024  # to one peer
    max_peer_message_bytes: int = 8 << 20
    peer_handshake_timeout_us: int = 2_000_000
    peer_heartbeat_us: int = 3_000_000  # after which a silent connection sends one
    peer_silence_timeout_us: int = 10_000_000


@dataclass(frozen=True, init=False, repr=False, eq=False)
class StoreLimits:
    """State that survives crashes."""

    max_staged_changes: int = 10_000  # that wait to be durable
    max_staged_bytes: int = 64 << 20
    min_compaction_bytes: int = 4 << 20  # of a journal, before it is compacted
    compaction_factor: float = 2.0  # snapshots that a journal may be as large as
    snapshot_retry_us: int = 1_000_000


@dataclass(frozen=True)
class Limits(
    ProcessLimits,
    ListenerLimits,
    ReportLimits,
    ClientLimits,
    RelayLimits,
    DiscoveryLimits,
    HealthCheckLimits,
    DnsServerLimits,
    ZoneLimits,
    PeerLimits,
    StoreLimits,
):
    """All limits, constructed once at the start and handed down."""

    def for_machine(self, sockets: int, memory_mb: int) -> Limits:
        """These limits on a machine that grants so many descriptors and so much memory."""
        max_connections = max(MIN_CONNECTIONS, sockets // CONNECTION_SOCKET_DIVISOR)
        max_health_checks = max(1, sockets // HEALTH_CHECK_SOCKET_DIVISOR)
        max_buffers_bytes = (memory_mb << 20) // READ_BUFFER_MEMORY_DIVISOR
        return replace(
            self,
            max_connections=min(self.max_connections, max_connections),
            max_concurrent_health_checks=min(self.max_concurrent_health_checks, max_health_checks),
            max_read_buffers_bytes=min(self.max_read_buffers_bytes, max_buffers_bytes),
        )

    def for_fleet(self, proxies: int, report_period_us: int = 0) -> Limits:
        """These limits for a fleet of so many proxies, all of which may come to this controller.

        Each may be bound, reported as joined, left and applied, and need a table, before any of it is taken.
        """
        patience_us = REPORT_TIMEOUT_PERIODS * report_period_us
        return replace(
            self,
            max_buffered_events=max(self.max_buffered_events, BUFFERED_EVENTS_PER_PROXY * proxies),
            max_queued_orders=max(self.max_queued_orders, QUEUED_ORDERS_PER_PROXY * proxies),
            max_report_window_us=max(self.max_report_window_us, patience_us),
            collector_idle_us=max(self.collector_idle_us, patience_us),
        )
