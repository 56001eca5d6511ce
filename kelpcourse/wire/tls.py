"""TLS on a non-blocking socket, with the standard library's implementation driven by the loop."""

from __future__ import annotations

import ssl
from collections.abc import Callable
from functools import partial
from typing import TypeVar

from kelpcourse.wire.errors import StreamError, StreamTimeoutError
from kelpcourse.wire.loop import READ, WRITE, Coroutine, Wait, WakeReason
from kelpcourse.wire.stream import Stream

T = TypeVar("T")


class TlsStream(Stream):
    """A Stream over TLS; `handshake` must complete before any other operation."""

    def __init__(
        self, stream: Stream, context: ssl.SSLContext, is_server: bool, name: str | None = None
    ) -> None:
        """Initializes a TLS stream that owns the socket of a plain stream.

        Args:
            stream: Plain connection.
            context: TLS context with keys and certificates.
            is_server: Whether this is the server's side of the connection.
            name: Host name of the server, for SNI and verification; used by clients only.
        """
        sock = context.wrap_socket(
            stream.sock,
            server_side=is_server,
            do_handshake_on_connect=False,
            server_hostname=name,
            suppress_ragged_eofs=True,
        )
        super().__init__(sock)
        self._tls_sock = sock

    def handshake(self, deadline_us: int) -> Coroutine[None]:
        """Performs the TLS handshake.

        Raises:
            StreamError: The handshake failed or timed out.
        """
        yield from self._complete(self._tls_sock.do_handshake, "TLS handshake", deadline_us)

    def recv_into(self, space: memoryview, deadline_us: int) -> Coroutine[int]:
        """Reads the available data, at least one byte, and returns its size; 0 means that the peer has closed.

        Data that TLS has already decrypted is returned without waiting.
        """
        return (
            yield from self._complete(partial(self._tls_sock.recv_into, space), "read", deadline_us)
        )

    def send(self, data: bytes, deadline_us: int) -> Coroutine[None]:
        """Writes all of `data`."""
        rest = memoryview(data)
        while rest:
            sent = yield from self._complete(
                partial(self._tls_sock.send, rest), "write", deadline_us
            )
            rest = rest[sent:]

    def _complete(
        self, operation: Callable[[], T], description: str, deadline_us: int
    ) -> Coroutine[T]:
        """Retries an operation until it completes; TLS may have to read in order to write, and vice versa."""
        while True:
            try:
                return operation()
            except ssl.SSLWantReadError:
                yield from self._wait(READ, deadline_us)
            except ssl.SSLWantWriteError:
                yield from self._wait(WRITE, deadline_us)
            except OSError as error:
                raise StreamError(f"{description} failed: {_reason(error)}") from error

    def _wait(self, event_mask: int, deadline_us: int) -> Coroutine[None]:
        reason = yield Wait(deadline_us, self._tls_sock.fileno(), event_mask)
        if reason is WakeReason.TIMED_OUT:
            raise StreamTimeoutError("no progress before the deadline")

    def peer_name(self) -> str:
        """Returns the common name in the peer's certificate, which the context has verified; empty if there is none."""
        certificate = self._tls_sock.getpeercert() or {}
        subject = certificate.get("subject", ())
        if not isinstance(subject, tuple):
            return ""
        for relative_name in subject:
            for attribute in relative_name:
                if isinstance(attribute, tuple) and attribute[0] == "commonName":
                    return str(attribute[1])
        return ""


def _reason(error: OSError) -> str:
    if isinstance(error, ssl.SSLCertVerificationError):
        return error.verify_message
    return error.strerror or str(error)
