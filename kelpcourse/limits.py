"""Limits that the policy does not decide: sizes, counts and times, grouped by component.

Times are in microseconds and sizes in bytes. Every component receives `Limits`, which has the fields of all groups.
The groups are never constructed on their own, so no methods are generated for them, which shortens startup.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

# Divisors that derive limits from the descriptors and the memory that the machine grants.
CONNECTION_SOCKET_DIVISOR = 2  # descriptors granted for each client connection
HEALTH_CHECK_SOCKET_DIVISOR = 16  # descriptors granted for each concurrent health check
READ_BUFFER_MEMORY_DIVISOR = 4  # bytes of memory granted for each byte of read buffers
MIN_CONNECTIONS = 4
BUFFERED_EVENTS_PER_PROXY = 4
QUEUED_ORDERS_PER_PROXY = 8
# Number of report periods in the timeout of reports, because reports may be late and one may be lost.
REPORT_TIMEOUT_PERIODS = 4


@dataclass(frozen=True, init=False, repr=False, eq=False)
class ProcessLimits:
    """Limits of policy steps, supervised coroutines, reloads and the log.

    Attributes:
        step_batching_us: Length of the window, in microseconds, in which arriving events are batched into one step.
        max_timers: Maximum number of pending policy timers.
        coroutine_restart_us: Delay, in microseconds, before a coroutine that ended with an error is restarted.
        reload_retry_us: Time, in microseconds, for which reading an invalid configuration is retried, because it may
            be only partly replaced.
        reload_retry_interval_us: Time, in microseconds, between two attempts to read the configuration.
        max_log_line_bytes: Maximum size, in bytes, of a log line: a pipe writes this much atomically.
        log_burst_lines: Maximum number of log lines of one event in each burst window.
        log_burst_window_us: Length of the burst window, in microseconds.
    """

    step_batching_us: int = 10_000
    max_timers: int = 1_000
    coroutine_restart_us: int = 250_000
    reload_retry_us: int = 2_000_000
    reload_retry_interval_us: int = 100_000
    max_log_line_bytes: int = 4_096
    log_burst_lines: int = 20
    log_burst_window_us: int = 10_000_000


@dataclass(frozen=True, init=False, repr=False, eq=False)
class ListenerLimits:
    """Limits of connections from report collectors and from clients that only ping.

    Attributes:
        max_connections: Maximum number of client connections.
        listen_backlog: Number of connections that the operating system queues until they are accepted.
        max_line_bytes: Maximum size, in bytes, of a message, which is one line.
        max_lines_per_turn: Maximum number of lines of one client that are handled before other coroutines run.
        initial_read_buffer_bytes: Size, in bytes, of a read buffer before it grows.
        max_read_buffers_bytes: Maximum size, in bytes, of the read buffers of all connections together.
        max_unauthenticated_bytes: Maximum size, in bytes, of the read buffer and of a message of an unauthenticated
            client.
        handshake_timeout_us: Time limit, in microseconds, from connecting to the first complete message.
        ping_client_idle_us: Maximum time, in microseconds, between two pings of a client that does not join.
        collector_idle_us: Maximum time, in microseconds, between two lines of a report collector.
        accept_retry_us: Delay, in microseconds, before accepting again after the connection limit was reached or
            descriptors ran out.
        bind_retry_us: Delay, in microseconds, before binding again while the address is in use.
    """

    max_connections: int = 1_024
    listen_backlog: int = 1_024
    max_line_bytes: int = 1 << 20
    max_lines_per_turn: int = 256
    initial_read_buffer_bytes: int = 16 << 10
    max_read_buffers_bytes: int = 32 << 20
    max_unauthenticated_bytes: int = 512
    handshake_timeout_us: int = 1_200_000
    ping_client_idle_us: int = 20_000_000
    collector_idle_us: int = 60_000_000
    accept_retry_us: int = 50_000
    bind_retry_us: int = 100_000


@dataclass(frozen=True, init=False, repr=False, eq=False)
class ReportLimits:
    """Limits of the values in reports.

    Attributes:
        max_report_window_us: Maximum window, in microseconds, that a report may cover.
        max_report_attempts_per_s: Maximum number of attempts per second in a report.
        max_mean_time_deadline_ratio: Maximum ratio of the reported mean time of successes to the longest deadline of
            a request class.
        max_checkpoints: Maximum number of checkpoints that are kept so that a proxy may acknowledge them.
    """

    max_report_window_us: int = 60_000_000
    max_report_attempts_per_s: int = 10_000
    max_mean_time_deadline_ratio: float = 2.0
    max_checkpoints: int = 16_384


@dataclass(frozen=True, init=False, repr=False, eq=False)
class ClientLimits:
    """Limits of outgoing connections.

    Attributes:
        connect_timeout_us: Time limit, in microseconds, of connecting.
        send_timeout_us: Time limit, in microseconds, of sending.
        max_http_head_bytes: Maximum size, in bytes, of the head of an HTTP response.
        max_http_body_bytes: Maximum size, in bytes, of the body of an HTTP response or of one line of a stream.
        min_backoff_us: First delay, in microseconds, before connecting again.
        max_backoff_us: Maximum delay, in microseconds, before connecting again.
    """

    connect_timeout_us: int = 150_000
    send_timeout_us: int = 1_000_000
    max_http_head_bytes: int = 16 << 10
    max_http_body_bytes: int = 8 << 20
    min_backoff_us: int = 20_000
    max_backoff_us: int = 100_000


@dataclass(frozen=True, init=False, repr=False, eq=False)
class RelayLimits:
    """Limits of the calls to the relay, its event streams and the orders queued for it.

    Attributes:
        max_call_bytes: Maximum size, in bytes, of the body of a call.
        call_timeout_us: Time limit, in microseconds, of a call: a response that takes longer than 50 ms never
            arrives.
        throttled_retry_us: Delay, in microseconds, before the next call after a call was throttled.
        idle_connection_us: Time, in microseconds, after which an idle connection is closed, before the relay closes
            it.
        event_stream_silence_us: Time, in microseconds, after which a silent event stream is closed; the relay sends a
            heartbeat every second.
        event_snapshot_timeout_us: Time, in microseconds, after which the snapshot of an event stream counts as
            complete.
        event_streams: Number of concurrent event streams; with two of them, one may break without a gap in the
            events.
        max_buffered_events: Maximum number of events by which one stream may be ahead of another.
        event_stream_overlap_us: Time, in microseconds, for which a stream must still report events after its successor
            opened, so that no event between them is missed.
        max_invalid_responses: Number of consecutive invalid responses after which the first order of a call is
            dropped.
        max_queued_orders: Maximum number of queued orders; beyond it the oldest are dropped, except for withdrawals.
        max_superseded_checkpoints: Maximum number of superseded checkpoints that are remembered.
    """

    max_call_bytes: int = 60_000
    call_timeout_us: int = 250_000
    throttled_retry_us: int = 100_000
    idle_connection_us: int = 1_000_000
    event_stream_silence_us: int = 2_500_000
    event_snapshot_timeout_us: int = 1_200_000
    event_streams: int = 2
    max_buffered_events: int = 2_000
    event_stream_overlap_us: int = 300_000
    max_invalid_responses: int = 8
    max_queued_orders: int = 20_000
    max_superseded_checkpoints: int = 64


@dataclass(frozen=True, init=False, repr=False, eq=False)
class DiscoveryLimits:
    """Limits of the watch of the endpoint list.

    Attributes:
        list_timeout_us: Time limit, in microseconds, of the first object of a watch and of a complete list.
        watch_silence_us: Time, in microseconds, after which a silent watch is closed; discovery sends an empty line
            every 2 s.
        max_stale_lists: Number of consecutive complete lists of an older version after which discovery is taken to
            have restarted its versions.
        watch_retry_us: Maximum delay, in microseconds, before a watch at a new address is retried. The spread between
            controllers at most doubles it.
        max_endpoint_names: Maximum number of endpoint names that are remembered; all names in the current list are,
            whatever their number.
    """

    list_timeout_us: int = 3_000_000
    watch_silence_us: int = 2_600_000
    max_stale_lists: int = 3
    watch_retry_us: int = 800_000
    max_endpoint_names: int = 16_384


@dataclass(frozen=True, init=False, repr=False, eq=False)
class HealthCheckLimits:
    """Limits of the health checks of endpoints.

    Attributes:
        health_check_timeout_us: Time limit, in microseconds, of a health check.
        max_concurrent_health_checks: Maximum number of concurrent health checks; each takes one descriptor.
        max_queued_health_checks: Maximum number of queued health checks.
    """

    health_check_timeout_us: int = 1_000_000
    max_concurrent_health_checks: int = 16
    max_queued_health_checks: int = 4_096


@dataclass(frozen=True, init=False, repr=False, eq=False)
class DnsServerLimits:
    """Limits of the server for DNS queries and updates.

    Attributes:
        max_dns_tcp_connections: Maximum number of TCP connections.
        dns_idle_timeout_us: Maximum time, in microseconds, between two queries on a connection.
        dns_partial_message_timeout_us: Time limit, in microseconds, of receiving the rest of a message or of sending
            an answer.
        max_dns_udp_bytes: Maximum size, in bytes, of an answer over UDP, even if the client accepts more (RFC 9715).
        dns_udp_sockets: Number of UDP sockets at the address of the DNS server, among which the system divides clients.
        max_dns_datagrams_per_read: Maximum number of datagrams that are read before a request is handled.
        max_queued_dns_datagrams: Maximum number of datagrams of a UDP socket that are read and not handled yet.
        max_queued_dns_bytes: Maximum size, in bytes, of these datagrams.
        max_dns_requests_per_turn: Maximum number of requests that are handled before other coroutines run.
        dns_turn_us: Time, in microseconds, after which other coroutines run before another request is handled.
        max_remembered_dns_updates: Maximum number of signed updates that are recognised if they are sent again.
        max_waiting_dns_repetitions: Maximum number of repetitions of an update that wait for its outcome.
        max_pending_dns_updates: Maximum number of signed updates that are not durable yet.
    """

    max_dns_tcp_connections: int = 128
    dns_idle_timeout_us: int = 10_000_000
    dns_partial_message_timeout_us: int = 3_000_000
    max_dns_udp_bytes: int = 1_232
    dns_udp_sockets: int = 16
    max_dns_datagrams_per_read: int = 8
    max_queued_dns_datagrams: int = 256
    max_queued_dns_bytes: int = 1 << 20
    max_dns_requests_per_turn: int = 16
    dns_turn_us: int = 5_000
    max_remembered_dns_updates: int = 65_536
    max_waiting_dns_repetitions: int = 8
    max_pending_dns_updates: int = 256


@dataclass(frozen=True, init=False, repr=False, eq=False)
class ZoneLimits:
    """Limits of zones: their size, transfers, files and commands.

    Attributes:
        max_zone_records: Maximum number of records of a zone.
        max_zone_history_records: Maximum number of records in the stored differences between versions of a zone.
        max_outgoing_zone_transfers: Maximum number of concurrent outgoing transfers.
        max_incoming_transfer_bytes: Maximum size, in bytes, of an incoming transfer.
        incoming_transfer_timeout_us: Time limit, in microseconds, of an incoming transfer.
        max_inline_zone_bytes: Maximum size, in bytes, of a message or file that is read on the event loop; larger
            ones are read in a thread.
        transfer_silence_us: Maximum time, in microseconds, between two messages of a transfer.
        soa_query_timeout_us: Time limit, in microseconds, of an SOA query over UDP, and of connecting for a transfer.
        notify_batching_us: Minimum time, in microseconds, between two rounds of queries, whatever the number of
            NOTIFY messages.
        max_notify_attempts: Maximum number of attempts to notify a secondary (RFC 1996: a few).
        notify_retry_us: Delay, in microseconds, before the second NOTIFY attempt; it doubles with each further
            attempt.
        min_zone_refresh_us: Minimum refresh interval of a zone, in microseconds, even if its SOA record has a shorter
            one.
        min_zone_retry_us: Minimum retry interval of a zone, in microseconds, even if its SOA record has a shorter
            one.
        max_zone_refresh_us: Maximum refresh or retry interval of a zone, in microseconds.
        zone_file_poll_us: Time, in microseconds, between two checks of a zone file for changes.
        zone_command_poll_us: Time, in microseconds, between two checks for a command.
        zone_confirmation_interval_us: Minimum time, in microseconds, between two stored confirmations of a zone.
        zone_removal_window_us: Length of the window, in microseconds, in which removed endpoints are counted for the
            removal limit.
        max_logged_zone_problems: Maximum number of problems in one log line.
    """

    max_zone_records: int = 1_000_000
    max_zone_history_records: int = 200_000
    max_outgoing_zone_transfers: int = 8
    max_incoming_transfer_bytes: int = 256 << 20
    incoming_transfer_timeout_us: int = 120_000_000
    max_inline_zone_bytes: int = 4_096
    transfer_silence_us: int = 10_000_000
    soa_query_timeout_us: int = 2_000_000
    notify_batching_us: int = 20_000
    max_notify_attempts: int = 5
    notify_retry_us: int = 1_000_000
    min_zone_refresh_us: int = 1_000_000
    min_zone_retry_us: int = 1_000_000
    max_zone_refresh_us: int = 86_400_000_000
    zone_file_poll_us: int = 1_000_000
    zone_command_poll_us: int = 200_000
    zone_confirmation_interval_us: int = 60_000_000
    zone_removal_window_us: int = 3_600_000_000
    max_logged_zone_problems: int = 20


@dataclass(frozen=True, init=False, repr=False, eq=False)
class PeerLimits:
    """Limits of the connections between controllers that share a fleet.

    Attributes:
        max_peer_connections: Maximum number of incoming connections: two from each of more than a thousand
            controllers.
        max_peer_handshakes: Maximum number of incoming connections whose member is not known yet.
        max_peer_hello_bytes: Maximum size, in bytes, of the first message of a connection.
        max_peer_buffers_bytes: Maximum size, in bytes, of the incomplete messages of all incoming connections.
        max_queued_peer_messages: Maximum number of queued messages to one peer.
        max_peer_message_bytes: Maximum size, in bytes, of a message between controllers.
        peer_handshake_timeout_us: Time limit, in microseconds, of the handshake of a connection.
        peer_heartbeat_us: Time, in microseconds, after which a heartbeat is sent on a silent connection.
        peer_silence_timeout_us: Time, in microseconds, after which a silent connection is closed.
    """

    max_peer_connections: int = 2_048
    max_peer_handshakes: int = 256
    max_peer_hello_bytes: int = 1_024
    max_peer_buffers_bytes: int = 64 << 20
    max_queued_peer_messages: int = 1_024
    max_peer_message_bytes: int = 8 << 20
    peer_handshake_timeout_us: int = 2_000_000
    peer_heartbeat_us: int = 3_000_000
    peer_silence_timeout_us: int = 10_000_000


@dataclass(frozen=True, init=False, repr=False, eq=False)
class StoreLimits:
    """Limits of the state that survives crashes.

    Attributes:
        max_staged_changes: Maximum number of changes that are not durable yet.
        max_staged_bytes: Maximum size, in bytes, of the changes that are not durable yet.
        min_compaction_bytes: Minimum size, in bytes, of a journal before it is compacted.
        compaction_factor: Ratio of the size of the journal to that of its snapshot above which it is compacted.
        snapshot_retry_us: Delay, in microseconds, before writing a snapshot is retried.
    """

    max_staged_changes: int = 10_000
    max_staged_bytes: int = 64 << 20
    min_compaction_bytes: int = 4 << 20
    compaction_factor: float = 2.0
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
    """All limits; constructed once at startup and passed to every component."""

    def for_machine(self, sockets: int, memory_mb: int) -> Limits:
        """Returns these limits reduced to what the machine grants.

        Args:
            sockets: Number of file descriptors that the process may open.
            memory_mb: Memory that the process may use, in MiB.
        """
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
        """Returns these limits raised for a fleet, all proxies of which may connect to this controller.

        Queues must hold, for every proxy, its binding, its joined, left and applied events, and the orders of its
        table before any of them is processed.

        Args:
            proxies: Number of proxies in the fleet.
            report_period_us: Time, in microseconds, between two reports of a collector.
        """
        report_timeout_us = REPORT_TIMEOUT_PERIODS * report_period_us
        return replace(
            self,
            max_buffered_events=max(self.max_buffered_events, BUFFERED_EVENTS_PER_PROXY * proxies),
            max_queued_orders=max(self.max_queued_orders, QUEUED_ORDERS_PER_PROXY * proxies),
            max_report_window_us=max(self.max_report_window_us, report_timeout_us),
            collector_idle_us=max(self.collector_idle_us, report_timeout_us),
        )
