"""Errors of connections and of the messages on them, all derived from `WireError`."""

from __future__ import annotations


class WireError(Exception):
    """Base class of all errors of this package."""


class StreamError(WireError):
    """Raised when a connection can no longer be used; the text gives the reason."""


class ConnectError(StreamError):
    """Raised when a connection could not be established."""


class StreamTimeoutError(StreamError):
    """Raised when the peer did not send or accept data before the deadline."""


class HttpProtocolError(StreamError):
    """Raised when the peer sent data that is not valid HTTP, or a part of a response exceeds its size limit."""


class HttpStatusError(StreamError):
    """Raised for an HTTP response with a status other than 200.

    Attributes:
        status: HTTP status that the peer sent.
    """

    def __init__(self, status: int) -> None:
        """Initializes the error of a response with this status."""
        super().__init__(f"unexpected HTTP status {status}")
        self.status = status


class ProtocolViolationError(StreamError):
    """Raised when an unauthenticated client sent a message that it is not allowed to send, or none in time."""


class MessageTooLongError(WireError):
    """Raised for a message that is longer than the maximum size of the read buffer.

    Attributes:
        max_bytes: Maximum size of the read buffer in bytes.
    """

    def __init__(self, max_bytes: int) -> None:
        """Initializes the error of a message that is longer than `max_bytes`."""
        super().__init__("message exceeds its size limit")
        self.max_bytes = max_bytes


class InvalidMessageError(WireError, ValueError):
    """Raised for an invalid message; the text names the field, if it concerns one."""


class NotJsonError(InvalidMessageError):
    """Raised for a message that is not a JSON object, so that its content is lost."""


class MalformedLineError(InvalidMessageError):
    """Raised for a line that is not a message, so that the lines after it can't be expected to be messages either."""


class RelayError(WireError):
    """Raised when the relay responded to a call with an error."""


class ThrottledError(RelayError):
    """Raised when a call is not possible yet, because the relay's run has not begun or this controller may not order.

    The call can be repeated later.
    """


class InvalidCallError(RelayError):
    """Raised when the relay rejected a request as not being a valid call, so that it did not carry it out."""
