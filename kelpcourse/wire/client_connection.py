"""State of one connection to the controller's own address."""

from __future__ import annotations

from kelpcourse.limits import Limits
from kelpcourse.wire.buffers import ReadBuffer
from kelpcourse.wire.loop import Task
from kelpcourse.wire.stream import Stream


class ClientConnection:
    """A connection that was accepted: a report collector, or a client that is unauthenticated.

    Attributes:
        stream: The connection.
        buffer: What was received and not yet decoded.
        zone: The zone whose collector it is; empty until it has identified itself.
        accepted_us: When it was accepted.
        last_message_us: When a message of it could last be decoded.
        partial_since_us: Since when a message of an unauthenticated client is incomplete.
        has_pinged: Whether it has sent a ping.
        task: Serves the connection.
    """

    def __init__(self, stream: Stream, buffer: ReadBuffer, now_us: int) -> None:
        """Take over a connection that was accepted now."""
        self.stream = stream
        self.buffer = buffer
        self.zone = ""
        self.accepted_us = now_us
        self.last_message_us = now_us
        self.partial_since_us: int | None = None
        self.has_pinged = False
        self.task: Task | None = None

    @property
    def is_collector(self) -> bool:
        """Whether it has identified itself as the report collector of a zone."""
        return bool(self.zone)

    @property
    def eviction_order(self) -> tuple[bool, bool, int]:
        """Sorts connections by which is evicted first: silent, then pinging, then collectors."""
        return self.is_collector, self.has_pinged, self.last_message_us

    def deadline_us(self, limits: Limits) -> int:
        """When the connection is closed for its silence.

        An unauthenticated client's time runs from its connecting, or from the start of a message, and
        never from its last byte; otherwise a slow drip would hold a connection for good.
        """
        if self.is_collector:
            return self.last_message_us + limits.collector_idle_us
        if not self.has_pinged:
            return self.accepted_us + limits.handshake_timeout_us
        if self.partial_since_us is not None:
            return self.partial_since_us + limits.handshake_timeout_us
        return self.last_message_us + limits.ping_client_idle_us
