"""TLS on a non-blocking socket: the standard library's implementation, driven by the loop."""

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
    """A Stream over TLS; `handshake` must complete before anything else."""

    def __init__(
        self, stream: Stream, context: ssl.SSLContext, is_server: bool, name: str | None = None
    ) -> None:
        """Take over the socket of a stream.

        Args:
            stream: The plain connection.
            context: Keys and certificates.
            is_server: Which side of the handshake this is.
            name: The server's host name, for SNI and verification; clients only.
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
        """Run the TLS handshake.

        Raises:
            StreamError: It failed or timed out.
        """
        yield from self._complete(self._tls_sock.do_handshake, "TLS", deadline_us)

    def recv_into(self, space: memoryview, deadline_us: int) -> Coroutine[int]:
        """Read what is there, at least one byte; 0 means that the peer has closed.

        Bytes that TLS has decrypted already are returned without waiting.
        """
        return (
            yield from self._complete(
                partial(self._tls_sock.recv_into, space), "reading", deadline_us
            )
        )

    def send(self, data: bytes, deadline_us: int) -> Coroutine[None]:
        """Write all of `data`."""
        rest = memoryview(data)
        while rest:
            sent = yield from self._complete(
                partial(self._tls_sock.send, rest), "writing", deadline_us
            )
            rest = rest[sent:]

    def _complete(
        self, operation: Callable[[], T], description: str, deadline_us: int
    ) -> Coroutine[T]:
        """Retry an operation until it is done; TLS may have to read to write, and vice versa."""
        while True:
            try:
                return operation()
            except ssl.SSLWantReadError:
                yield from self._wait(READ, deadline_us)
            except ssl.SSLWantWriteError:
                yield from self._wait(WRITE, deadline_us)
            except OSError as error:
                raise StreamError(f"{description}: {_reason(error)}") from error

    def _wait(self, event_mask: int, deadline_us: int) -> Coroutine[None]:
        reason = yield Wait(deadline_us, self._tls_sock.fileno(), event_mask)
        if reason is WakeReason.TIMED_OUT:
            raise StreamTimeoutError("nothing came in time")

    def peer_name(self) -> str:
        """Give the common name in the peer's certificate, which the context has verified."""
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
