"""A discovery server that streams the endpoint list and its changes."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

import orjson

from kelpcourse.lab.http import HttpConnection, HttpServer
from kelpcourse.lab.loopback import now_us
from kelpcourse.wire.loop import Coroutine, Loop, Wait

POLL_US = 50_000


class Discovery:
    """Streams published lists to every watch; each list has the next revision."""

    def __init__(self, loop: Loop) -> None:
        """Starts listening, with no published list."""
        self._lists: list[bytes] = []
        self._server = HttpServer(loop, self._serve)
        self.address = self._server.address

    def publish(self, entries: Sequence[Mapping[str, object]], complete: bool = True) -> None:
        """Publishes entries to every watch, as a complete list or as changes."""
        revision = len(self._lists) + 1
        fields = {"revision": revision, "complete": complete, "members": list(entries)}
        self._lists.append(orjson.dumps(fields))

    def _serve(self, connection: HttpConnection) -> Coroutine[None]:
        yield from connection.read_request()
        yield from connection.start_chunked_response()
        sent_count = 0
        while True:
            for line in self._lists[sent_count:]:
                yield from connection.send_line(line)
            sent_count = len(self._lists)
            yield from connection.send_line(b"")
            yield Wait(now_us() + POLL_US)
