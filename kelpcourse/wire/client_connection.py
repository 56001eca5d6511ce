"""State of one connection to the controller's own address."""

from __future__ import annotations

from kelpcourse.limits import Limits
from kelpcourse.wire.buffers import ReadBuffer
from kelpcourse.wire.loop import Task
from kelpcourse.wire.stream import Stream


class ClientConnection:
    """An accepted connection of a report collector or of an unauthenticated client.

    Attributes:
        stream: Stream of the connection.
        buffer: Bytes that were received but not yet decoded.
        zone: Zone of the report collector; empty until the client has identified itself as a collector.
        accepted_us: Time at which the connection was accepted, in microseconds.
        last_message_us: Time at which the last valid message was decoded, in microseconds.
        partial_since_us: Time since which a message of an unauthenticated client is incomplete, in microseconds;
            None if no message is incomplete.
        checked_bytes: Number of bytes of the incomplete line that were checked.
        has_pinged: Whether the client has sent a ping.
        task: Task that serves the connection.
    """

    def __init__(self, stream: Stream, buffer: ReadBuffer, now_us: int) -> None:
        """Initializes the state of a connection that was accepted at `now_us`."""
        self.stream = stream
        self.buffer = buffer
        self.zone = ""
        self.accepted_us = now_us
        self.last_message_us = now_us
        self.partial_since_us: int | None = None
        self.checked_bytes = 0
        self.has_pinged = False
        self.task: Task | None = None

    @property
    def is_collector(self) -> bool:
        """Whether the client has identified itself as the report collector of a zone."""
        return bool(self.zone)

    @property
    def eviction_order(self) -> tuple[bool, bool, int]:
        """The sort key for eviction: silent clients first, then those that pinged, then collectors, by last message."""
        return self.is_collector, self.has_pinged, self.last_message_us

    def deadline_us(self, limits: Limits) -> int:
        """Returns the time, in microseconds, at which the connection is closed for inactivity.

        The timeout of an unauthenticated client starts when it connects, completes a message or starts one, but not
        with each byte; otherwise a client that sends single bytes slowly could keep its connection open indefinitely.
        """
        if self.is_collector:
            return self.last_message_us + limits.collector_idle_us
        if not self.has_pinged:
            return self.accepted_us + limits.handshake_timeout_us
        if self.partial_since_us is not None:
            return self.partial_since_us + limits.handshake_timeout_us
        return self.last_message_us + limits.ping_client_idle_us
