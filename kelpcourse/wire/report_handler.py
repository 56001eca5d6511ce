"""Handling of the lines of client connections: pings, and hellos and reports of report collectors."""

from __future__ import annotations

import contextlib
import socket
from itertools import islice

from kelpcourse.facade import InvalidReportError
from kelpcourse.wire.client_connection import ClientConnection
from kelpcourse.wire.errors import (
    InvalidMessageError,
    MalformedLineError,
    ProtocolViolationError,
)
from kelpcourse.wire.report_codec import (
    PONG,
    REFUSED,
    CollectorHello,
    DemandReportMessage,
    EndpointReportMessage,
    Message,
    Ping,
    check_partial_line,
    decode_line,
)
from kelpcourse.wire.runtime import Runtime


class ReportHandler:
    """Decodes the lines of client connections and passes reports to the facade."""

    def __init__(self, runtime: Runtime) -> None:
        """Initializes a handler for all connections of a listener."""
        self._runtime = runtime

    def handle_received(self, connection: ClientConnection) -> bool:
        """Handles the complete lines in a connection's buffer, up to a limit.

        Returns:
            Whether the limit was reached, so that this method has to be called again before more is read.

        Raises:
            MalformedLineError: A line is not a message.
            ProtocolViolationError: An unauthenticated client sent a message that it is not allowed to send, or did not
                complete a message before its deadline.
            MessageTooLongError: A line exceeds the size limit.
        """
        max_lines = self._runtime.limits.max_lines_per_turn
        line_count = 0
        for line in islice(connection.buffer.lines(), max_lines):
            self._handle_line(connection, line)
            line_count += 1
        if line_count:
            connection.checked_bytes = 0
        if line_count == max_lines:
            return True
        partial = connection.buffer.partial_message()
        connection.checked_bytes = check_partial_line(partial, connection.checked_bytes)
        self._check_handshake(connection, partial)
        return False

    def _check_handshake(self, connection: ClientConnection, partial: memoryview) -> None:
        """Checks that an unauthenticated client completes its messages in time.

        Raises:
            ProtocolViolationError: It has not.
        """
        if connection.is_collector:
            return
        now_us = self._runtime.clock()
        if not partial:
            connection.partial_since_us = None
        elif not connection.partial_since_us:
            connection.partial_since_us = now_us
        # The deadline of a read can't pass while bytes keep arriving, so it is checked here too.
        if now_us > connection.deadline_us(self._runtime.limits):
            raise ProtocolViolationError("message not completed before the deadline")

    def reject(self, connection: ClientConnection, error: Exception) -> None:
        """Counts and logs a rejected connection, and sends `REFUSED` to an unauthenticated client.

        A collector is not notified, because only pongs are ever written to it. It has to reconnect after a malformed
        line.
        """
        if connection.is_collector:
            self._runtime.counters.add("collectors_disconnected")
            self._runtime.log.event(
                "collector_disconnected", zone=connection.zone, reason=str(error)
            )
            return
        self._runtime.counters.add("clients_rejected")
        self._runtime.log.event("client_rejected", reason=str(error), pinged=connection.has_pinged)
        with contextlib.suppress(OSError):
            connection.stream.sock.send(REFUSED)

    def _handle_line(self, connection: ClientConnection, line: memoryview) -> None:
        """Handles one line.

        An invalid message of a collector is skipped, because the lines before and after it are valid. An
        unauthenticated client may only send a ping or identify itself as a collector.
        """
        try:
            message = decode_line(line)
            if connection.is_collector:
                self._handle_collector(connection, message)
            else:
                self._handle_unauthenticated(connection, message)
            connection.last_message_us = self._runtime.clock()
        except MalformedLineError:
            raise
        except (InvalidMessageError, InvalidReportError) as error:
            if not connection.is_collector:
                raise ProtocolViolationError(str(error)) from error
            self._runtime.reject_message("collector", error)

    def _handle_unauthenticated(
        self, connection: ClientConnection, message: Message | None
    ) -> None:
        match message:
            case Ping():
                connection.has_pinged = True
                self._send_pong(connection)
            case CollectorHello(zone) if self._runtime.facade.has_zone(zone):
                limits = self._runtime.limits
                connection.zone = zone
                connection.buffer.set_limits(
                    limits.initial_read_buffer_bytes, limits.max_line_bytes
                )
                self._runtime.log.event("collector_connected", zone=zone)
            case CollectorHello(zone):
                raise ProtocolViolationError(f"unknown zone {zone!r:.60}")
            case _:
                raise ProtocolViolationError(
                    "message other than ping or collector from an unauthenticated client"
                )

    def _handle_collector(self, connection: ClientConnection, message: Message | None) -> None:
        match message:
            case EndpointReportMessage():
                self._report_endpoint(connection, message)
            case DemandReportMessage():
                self._report_demand(message)
            case CollectorHello(zone) if zone != connection.zone:
                raise InvalidMessageError(
                    f"collector of zone {connection.zone!r:.60} identified itself as that of {zone!r:.60}"
                )
            case Ping():
                self._send_pong(connection)

    def _report_endpoint(self, connection: ClientConnection, report: EndpointReportMessage) -> None:
        if report.zone != connection.zone:
            raise InvalidMessageError(
                f"report on zone {report.zone!r:.60} from the collector of {connection.zone!r:.60}"
            )
        self._runtime.counters.add("endpoint_reports")
        self._runtime.facade.report_attempts(
            report.endpoint,
            report.zone,
            report.attempts,
            report.failed,
            report.window_ms,
            report.mean_ms,
            report.load,
        )

    def _report_demand(self, report: DemandReportMessage) -> None:
        self._runtime.counters.add("demand_reports")
        self._runtime.facade.report_demand(
            report.proxy,
            report.class_name,
            report.arrivals,
            report.unanswered,
            report.window_ms,
        )

    def _send_pong(self, connection: ClientConnection) -> None:
        self._runtime.counters.add("pings")
        try:
            sent = connection.stream.sock.send(PONG)
        except OSError:
            sent = 0
        # The client does not read its responses; nothing may be sent after an incomplete line.
        if sent < len(PONG):
            with contextlib.suppress(OSError):
                connection.stream.sock.shutdown(socket.SHUT_RDWR)
