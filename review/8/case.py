"""Case 8: an update that was answered NOERROR is gone after the server was killed."""

from __future__ import annotations

import os
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import standins_2 as st

try:
    import zones_2 as zn
except ImportError as missing:
    print(f"not run: {missing}; review/build-2.sh installs it")
    sys.exit(st.NOT_RUN)

ROUNDS = 6
HOSTS = 60  # hosts that come up together in a round
ANSWERS_BEFORE_KILL = 6  # of one registrar beyond those of the other
NO_ERROR = 0


class Registrar:
    """A client that announces hosts; it sends its updates one after another and reads the answers as they come."""

    def __init__(self, name: str, files: zn.ZoneFiles, hosts: list[str]) -> None:
        self.name = name
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.connect(("127.0.0.1", files.port))
        self.socket.setblocking(False)
        self.waiting = [(host, files.add_host(host, "room-a").to_wire()) for host in hosts]
        self.sent: dict[int, str] = {}
        self.accepted: list[str] = []
        self.others: dict[str, int] = {}

    def send_next(self) -> None:
        if self.waiting:
            host, wire = self.waiting.pop(0)
            self.sent[int.from_bytes(wire[:2], "big")] = host
            try:
                self.socket.send(wire)
            except OSError:
                pass

    def read(self) -> None:
        while True:
            try:
                wire = self.socket.recv(4096)
            except OSError:
                return
            host = self.sent.get(int.from_bytes(wire[:2], "big"))
            if host is None:
                continue
            if wire[3] & 15 == NO_ERROR:
                self.accepted.append(host)
            else:
                self.others[host] = wire[3] & 15


def play(number: int, files: zn.ZoneFiles, server: zn.ZoneServer, record: st.Record) -> list[str] | None:
    """Plays a round and returns the hosts that were accepted and are gone; None if the server did not start."""
    hosts = [f"g-{number}-{k}" for k in range(HOSTS)]
    registrars = [Registrar("registrar 1", files, hosts), Registrar("registrar 2", files, hosts)]
    if not server.start():
        return None
    end = time.monotonic() + 8.0
    while time.monotonic() < end:
        for registrar in registrars:
            registrar.send_next()
            registrar.read()
        ahead = len(set(registrars[1].accepted) - set(registrars[0].accepted))
        if st.trouble() and ahead >= ANSWERS_BEFORE_KILL:
            break
        if all(len(each.accepted) + len(each.others) >= HOSTS for each in registrars):
            break
    server.end(signal.SIGKILL if st.trouble() else signal.SIGTERM)
    for registrar in registrars:
        registrar.read()
        record.line(f"{registrar.name}: {len(registrar.accepted)} updates were answered NOERROR, {len(registrar.others)} otherwise")
        registrar.socket.close()
    accepted = dict.fromkeys(registrars[0].accepted + registrars[1].accepted)
    if not server.start():
        return None
    gone = [host for host in accepted if not files.has_host(host)]
    for host in gone:
        who = [each.name for each in registrars if host in each.accepted]
        record.line(f"{host}: answered NOERROR to {' and '.join(who)}, and not in the zone after the restart")
    server.end(signal.SIGTERM)
    return gone


def run(folder: Path, record: st.Record) -> tuple[int, str]:
    files = zn.ZoneFiles(folder, {"s-1": "room-a", "s-2": "room-b"})
    server = zn.ZoneServer(files, record)
    try:
        lost = 0
        rounds = 0
        for number in range(ROUNDS):
            gone = play(number, files, server, record)
            if gone is None:
                return st.NOT_RUN, "the server did not start"
            lost += len(gone)
            rounds += bool(gone)
        if lost:
            return st.BROKEN, f"{lost} hosts whose update was answered NOERROR are gone, after {rounds} of {ROUNDS} kills"
        return st.HELD, f"every accepted update is there after each of {ROUNDS} restarts"
    finally:
        server.kill()


def main() -> None:
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(st.NOT_RUN))
    record = st.Record(Path(__file__).resolve().parent)
    with tempfile.TemporaryDirectory() as name:
        code, summary = run(Path(name), record)
    try:
        st.finish(code, record, summary)
    except st.Finished:
        os._exit(code)


main()
