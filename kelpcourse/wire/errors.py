"""Errors of connections and of the messages on them, all derived from `WireError`."""

from __future__ import annotations


class WireError(Exception):
    """Base class of all errors of this package."""


class StreamError(WireError):
    """A connection can no longer be used; the text gives the reason."""


class ConnectError(StreamError):
    """A connection could not be established."""


class StreamTimeoutError(StreamError):
    """The peer did not send or accept data before the deadline."""


class HttpProtocolError(StreamError):
    """The peer sent data that is not valid HTTP, or a part of a response exceeds its size limit."""


class HttpStatusError(StreamError):
    """An HTTP response has a status other than 200.

    Attributes:
        status: HTTP status that the peer sent.
    """

    def __init__(self, status: int) -> None:
        """Initializes the error of a response with this status."""
        super().__init__(f"unexpected HTTP status {status}")
        self.status = status


class ProtocolViolationError(StreamError):
    """An unauthenticated client sent a message that it is not allowed to send."""


class MessageTooLongError(WireError):
    """A message is longer than the maximum size of the read buffer.

    Attributes:
        max_bytes: Maximum size of the read buffer in bytes.
    """

    def __init__(self, max_bytes: int) -> None:
        """Initializes the error of a message that is longer than `max_bytes`."""
        super().__init__("message exceeds its size limit")
        self.max_bytes = max_bytes


class InvalidMessageError(WireError, ValueError):
    """A message is invalid; the text names the field, if it concerns one."""


class NotJsonError(InvalidMessageError):
    """A message is not a JSON object, so its content is lost."""


class MalformedLineError(InvalidMessageError):
    """A line is not a message, so the lines after it can't be expected to be messages either."""


class RelayError(WireError):
    """The relay responded to a call with an error."""


class ThrottledError(RelayError):
    """The relay rejected a call because its run has not begun; the call can be repeated later."""


class InvalidCallError(RelayError):
    """The relay rejected a request as not being a valid call, so it did not carry it out."""
