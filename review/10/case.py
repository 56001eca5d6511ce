"""Case 10: an update that is sent again after a restart is applied a second time, and a removed server is back."""

from __future__ import annotations

import asyncio
import signal
import sys
import tempfile
from pathlib import Path
from typing import NoReturn

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import standins_2 as st

try:
    import zones_2 as zn
except ImportError as missing:
    print(f"not run: {missing}; review/build-2.sh installs it")
    sys.exit(st.NOT_RUN)

PROXIES = 6
HOSTS = 6
REQUESTS_PER_S = 10.0  # of each proxy
STEADY_S = 6.0
GRACE_S = 1.5 + 0.3
RESEND_S = (5.0, 10.0)  # a client that has no answer sends the same message again after 5 s, and again 10 s later
WATCHED_S = 8.0
SEED = 10
ADDED = "s-9"
ROOM = "room-a"


class Case:
    def __init__(self, folder: Path, record: st.Record) -> None:
        self.record = record
        rooms = {f"s-{k}": st.ZONES[k % 2] for k in range(HOSTS)}
        self.files = zn.ZoneFiles(folder, rooms)
        self.hosts = {name: st.Host(name, room, 0) for name, room in rooms.items()}
        self.hosts[ADDED] = st.Host(ADDED, ROOM, 0)
        # The relay asks it only which servers were ever listed; the list itself comes from the zone.
        self.listed = st.Discovery(list(self.hosts.values()))
        proxies = []
        for number in range(PROXIES):
            zone = st.ZONES[number % 2]
            standing = [name for name, room in rooms.items() if room == zone]
            proxies.append(st.Proxy(number, zone, REQUESTS_PER_S, standing))
        self.relay = st.Relay(proxies, self.listed, record, SEED)
        self.traffic = st.Traffic(self.relay, self.hosts, SEED, self.on_request)
        command = f"{zn.COMMAND} run {self.files.settings}"
        self.director = st.Director(folder, record, st.free_address(), command)
        self.requests_while_added = 0
        self.removed_at = 0.0
        self.late: list[float] = []

    def on_request(self, proxy: st.Proxy, request_class: str, host: st.Host | None) -> None:
        if host is None or host.name != ADDED:
            return
        if not self.removed_at:
            self.requests_while_added += 1
        elif st.now() - max(self.removed_at, proxy.joined_at) > GRACE_S:
            self.late.append(st.now() - self.removed_at)

    async def registrar(self) -> None:
        """Announces a server. Its first answer is lost on the way, so it sends the same bytes again, three times in all."""
        message = self.files.add_host(ADDED, ROOM)
        wire = message.to_wire()
        for attempt, wait_s in enumerate((*RESEND_S, 0.0), 1):
            answer = await asyncio.to_thread(zn.exchange_udp, self.files.port, wire, 2.0)
            lost = attempt == 1
            self.record.line(f"registrar: update of {ADDED}, sent for the {attempt}. time: {answer}{', and the answer is lost' if lost else ''}")
            if not lost and answer != "no answer":
                return
            await asyncio.sleep(wait_s)

    async def restart(self) -> None:
        """A planned restart: SIGTERM, then the same command; the proxies dial again."""
        self.director.signal(signal.SIGTERM)
        assert self.director.process is not None
        await asyncio.to_thread(self.director.process.wait, 10)
        self.relay.director_gone()
        self.director.start()
        if not await self.director.answers():
            st.finish(st.NOT_RUN, self.record, "the director did not start again")
        await asyncio.sleep(0.7)
        for proxy in self.relay.proxies.values():
            self.relay.join(proxy)

    async def run(self) -> None:
        await self.relay.start()
        for proxy in self.relay.proxies.values():
            self.relay.join(proxy)
        known = {"revision": 0, "complete": True, "members": []}
        self.director.write_config(("127.0.0.1", 9), self.relay.address, known, st.settings(PROXIES))
        self.director.start()
        if not await self.director.answers():
            st.finish(st.NOT_RUN, self.record, "the director did not start")
        tasks = [asyncio.create_task(self.traffic.run())]
        collectors = st.Collectors(self.traffic, self.director.listen)
        tasks += [asyncio.create_task(collectors.run(zone)) for zone in st.ZONES]
        await asyncio.sleep(STEADY_S)
        registrar = asyncio.create_task(self.registrar())
        await asyncio.sleep(0.5)
        if st.trouble():
            await self.restart()
        await asyncio.sleep(1.0)
        answer = await asyncio.to_thread(self.files.send, self.files.remove_host(ADDED, ROOM))
        self.removed_at = st.now()
        self.record.line(f"operator: {ADDED} is removed again: {answer}")
        if answer != "NOERROR":
            st.finish(st.NOT_RUN, self.record, "the removal was not accepted")
        await registrar
        await asyncio.sleep(WATCHED_S)
        listed = await asyncio.to_thread(self.files.has_host, ADDED)
        for task in tasks:
            task.cancel()
        self.judge(listed)

    def judge(self, listed: bool) -> NoReturn:
        self.record.line(f"{ADDED} is in the zone at the end: {listed}; requests to it more than {GRACE_S} s after its removal: {len(self.late)}")
        if not self.director.running():
            st.finish(st.BROKEN, self.record, "the director ended")
        if listed or self.late:
            st.finish(
                st.BROKEN, self.record,
                f"an update took effect twice: {ADDED} was removed and is announced again, and got {len(self.late)} requests",
            )
        st.finish(st.HELD, self.record, f"{ADDED} stays removed, no request to it after the grace")


def main() -> None:
    record = st.Record(Path(__file__).resolve().parent)
    with tempfile.TemporaryDirectory() as name:
        case = Case(Path(name), record)
        code = st.run_case(case.run(), case.director.kill)
    st.leave(code)


main()
