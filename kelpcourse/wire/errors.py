"""Errors of connections and of the messages on them; all derive from `WireError`."""

from __future__ import annotations


class WireError(Exception):
    """Base of all errors of this package."""


class StreamError(WireError):
    """A connection can't be used any more; the text says why."""


class ConnectError(StreamError):
    """A connection was never established."""


class StreamTimeoutError(StreamError):
    """The peer neither sent nor accepted any byte before the deadline."""


class HttpProtocolError(StreamError):
    """The peer sent something that is not HTTP, or is longer than its limit."""


class HttpStatusError(StreamError):
    """An HTTP response has a status other than 200.

    Attributes:
        status: The status that the peer sent.
    """

    def __init__(self, status: int) -> None:
        """Describe a response with this status."""
        super().__init__(f"answered {status}")
        self.status = status


class ProtocolViolationError(StreamError):
    """An unauthenticated client sent something that it may not send."""


class MessageTooLongError(WireError):
    """A message is longer than the read buffer may grow.

    Attributes:
        max_bytes: The limit of the buffer.
    """

    def __init__(self, max_bytes: int) -> None:
        """Describe a message that is longer than `max_bytes`."""
        super().__init__("a message over its limit")
        self.max_bytes = max_bytes


class InvalidMessageError(WireError, ValueError):
    """A message can't be used; the text names the field."""


class NotJsonError(InvalidMessageError):
    """A message is not a JSON object, so whatever it was to say is lost."""


class MalformedLineError(InvalidMessageError):
    """A line is not a message at all: what follows it can't be trusted to start a new one."""


class RelayError(WireError):
    """The relay answered a call with an error."""


class ThrottledError(RelayError):
    """The relay rejected a call because the run has not begun."""


class InvalidCallError(RelayError):
    """The relay does not take a request for a call, so it never carries it out."""
