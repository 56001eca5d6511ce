"""Handles the lines of client connections: pings, report collectors' hellos and their reports."""

from __future__ import annotations

import contextlib
import socket

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
    """Decodes what client connections send and hands reports to the facade."""

    def __init__(self, runtime: Runtime) -> None:
        """Create a handler for all connections of a listener."""
        self._runtime = runtime

    def handle_received(self, connection: ClientConnection) -> None:
        """Handle the complete lines in a connection's buffer.

        Raises:
            MalformedLineError: A line is not a message at all.
            ProtocolViolationError: An unauthenticated client sent something else than it may, or its
                time is over.
            MessageTooLongError: A line is over its limit.
        """
        for line in connection.buffer.lines():
            self._handle_line(connection, line)
        partial = connection.buffer.partial_message()
        check_partial_line(partial)
        if connection.is_collector:
            return
        now_us = self._runtime.clock()
        if not partial:
            connection.partial_since_us = None
        elif not connection.partial_since_us:
            connection.partial_since_us = now_us
        # While bytes keep coming, the deadline of the read never passes.
        if now_us > connection.deadline_us(self._runtime.limits):
            raise ProtocolViolationError("its time is over")

    def reject(self, connection: ClientConnection, error: Exception) -> None:
        """Tell an unauthenticated client that it is refused.

        A collector is not told, because nothing but pongs is ever written to it. After a line that
        can't be read, only reconnecting helps it.
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
        """Handle one line.

        A collector's message that can't be used is skipped, as its neighbours are good. An
        unauthenticated client may only ping or identify itself.
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
                raise ProtocolViolationError(f"no zone {zone!r:.60}")
            case _:
                raise ProtocolViolationError("a message before a joining")

    def _handle_collector(self, connection: ClientConnection, message: Message | None) -> None:
        match message:
            case EndpointReportMessage():
                self._report_endpoint(connection, message)
            case DemandReportMessage():
                self._report_demand(message)
            case CollectorHello(zone) if zone != connection.zone:
                raise InvalidMessageError(
                    f"the collector of {connection.zone!r:.60} is not that of {zone!r:.60}"
                )
            case Ping():
                self._send_pong(connection)

    def _report_endpoint(self, connection: ClientConnection, report: EndpointReportMessage) -> None:
        if report.zone != connection.zone:
            raise InvalidMessageError(
                f"zone {report.zone!r:.60} through the collector of {connection.zone!r:.60}"
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
        # A client that does not read its answers: half a line must not be followed by another.
        if sent < len(PONG):
            with contextlib.suppress(OSError):
                connection.stream.sock.shutdown(socket.SHUT_RDWR)
