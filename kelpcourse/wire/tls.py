"""TLS over a Stream's socket without blocking: the standard library's, driven by the loop."""

from __future__ import annotations

import ssl
from collections.abc import Callable
from functools import partial
from typing import TypeVar

from kelpcourse.wire.loop import READ, WRITE, Coroutine, Wait, WakeReason
from kelpcourse.wire.stream import Broken, Silent, Stream

T = TypeVar("T")


class TlsStream(Stream):
    """As a Stream, once `handshake` is through."""

    def __init__(
        self, stream: Stream, context: ssl.SSLContext, server: bool, name: str | None = None
    ) -> None:
        sock = context.wrap_socket(
            stream.sock,
            server_side=server,
            do_handshake_on_connect=False,
            server_hostname=name,
            suppress_ragged_eofs=True,
        )
        super().__init__(sock)
        self._tls = sock

    def handshake(self, until_us: int) -> Coroutine[None]:
        yield from self._until_done(self._tls.do_handshake, "TLS", until_us)

    def recv_into(self, room: memoryview, until_us: int) -> Coroutine[int]:
        """What is there, at least one byte; 0 is the end. Bytes that TLS holds already are not waited for."""
        return (
            yield from self._until_done(partial(self._tls.recv_into, room), "reading", until_us)
        )

    def send(self, data: bytes, until_us: int) -> Coroutine[None]:
        rest = memoryview(data)
        while rest:
            sent = yield from self._until_done(partial(self._tls.send, rest), "writing", until_us)
            rest = rest[sent:]

    def _until_done(self, call: Callable[[], T], what: str, until_us: int) -> Coroutine[T]:
        """TLS may have to read to write, and the other way round."""
        while True:
            try:
                return call()
            except ssl.SSLWantReadError:
                yield from self._wait(READ, until_us)
            except ssl.SSLWantWriteError:
                yield from self._wait(WRITE, until_us)
            except OSError as error:
                raise Broken(f"{what}: {_reason(error)}") from None

    def _wait(self, mask: int, until_us: int) -> Coroutine[None]:
        woken = yield Wait(until_us, self._tls.fileno(), mask)
        if woken is WakeReason.TIMED_OUT:
            raise Silent("nothing came in time")

    def peer_name(self) -> str:
        """The common name in the other side's certificate, which the context has verified."""
        certificate = self._tls.getpeercert() or {}
        subject = certificate.get("subject", ())
        for part in subject if isinstance(subject, tuple) else ():
            for field in part:
                if isinstance(field, tuple) and field[0] == "commonName":
                    return str(field[1])
        return ""


def _reason(error: OSError) -> str:
    if isinstance(error, ssl.SSLCertVerificationError):
        return error.verify_message
    return error.strerror or str(error)
