"""Case 10: servers die, the director is killed right after it was told, and the next one leaves the old tables in use."""

from __future__ import annotations

import asyncio
import signal
import sys
import tempfile
from pathlib import Path
from typing import NoReturn

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import standins_2 as st

PROXIES = 12
HOSTS = 12
REQUESTS_PER_S = 10.0  # of each proxy
STEADY_S = 9.0
DEAD = ("s-3", "s-6")  # two of twelve, 17%
KILLED_AFTER_S = 0.1  # after discovery told the director; a message takes 0.14 to 0.48 s
DOWN_S = 3.0  # directors come back after 2.8 to 10 s
REDIAL_S = 0.65  # a proxy dials again within 0.65 to 2 s
WATCHED_S = 10.0
GRACE_S = 1.5 + 0.3  # the day's grace, and the slack of the rules on sockets
FIRST_ANSWER_SLACK_S = 1.0
SEED = 10


class Case:
    def __init__(self, folder: Path, record: st.Record) -> None:
        self.record = record
        self.hosts = {f"s-{k}": st.Host(f"s-{k}", st.ZONES[k % 2], k // 4) for k in range(HOSTS)}
        self.discovery = st.Discovery(list(self.hosts.values()))
        proxies = []
        for number in range(PROXIES):
            zone = st.ZONES[number % 2]
            standing = [name for name, host in self.hosts.items() if host.zone == zone][:5]
            proxies.append(st.Proxy(number, zone, REQUESTS_PER_S, standing))
        self.relay = st.Relay(proxies, self.discovery, record, SEED)
        self.traffic = st.Traffic(self.relay, self.hosts, SEED, self.on_request)
        self.director = st.Director(folder, record, st.free_address())
        # The time from which on the rule is judged: the director was told, and is up, or is up again.
        self.judged_from = float("inf")
        self.late: list[tuple[float, int]] = []

    def on_request(self, proxy: st.Proxy, request_class: str, host: st.Host | None) -> None:
        if host is not None and host.phase == "gone":
            late = st.now() - max(self.judged_from, proxy.joined_at) - GRACE_S
            if late > 0:
                self.late.append((late, proxy.number))

    async def start_director(self) -> None:
        """Starts the director with the list as it last had it."""
        self.director.write_config(
            self.discovery.address, self.relay.address, self.discovery.complete(), st.settings(PROXIES)
        )
        self.director.start()
        if not await self.director.answers():
            st.finish(st.NOT_RUN, self.record, "the director did not start")

    async def run(self) -> None:
        await self.discovery.start()
        await self.relay.start()
        for proxy in self.relay.proxies.values():
            self.relay.join(proxy)
        await self.start_director()
        tasks = [asyncio.create_task(self.traffic.run())]
        collectors = st.Collectors(self.traffic, self.director.listen)
        tasks += [asyncio.create_task(collectors.run(zone)) for zone in st.ZONES]
        await asyncio.sleep(STEADY_S)
        unbound = [number for number, proxy in self.relay.proxies.items() if not proxy.bound]
        if unbound or not self.director.running():
            st.finish(st.NOT_RUN, self.record, f"not steady: unbound proxies {unbound}")
        for name in DEAD:
            self.hosts[name].phase = "gone"
            self.traffic.failing.add(name)
        self.discovery.publish([self.hosts[name] for name in DEAD])
        self.record.line(f"{' and '.join(DEAD)} died; discovery told the director that they are gone")
        self.judged_from = st.now()
        await asyncio.sleep(KILLED_AFTER_S)
        if st.trouble():
            self.judged_from = float("inf")
            self.director.signal(signal.SIGKILL)
            assert self.director.process is not None
            await asyncio.to_thread(self.director.process.wait)
            self.relay.director_gone()
            await asyncio.sleep(DOWN_S)
            await self.start_director()
            self.judged_from = st.now() + FIRST_ANSWER_SLACK_S
            await asyncio.sleep(REDIAL_S)
            for proxy in self.relay.proxies.values():
                self.relay.join(proxy)
                await asyncio.sleep(0.05)
        await asyncio.sleep(WATCHED_S)
        for task in tasks:
            task.cancel()
        self.judge()

    def judge(self) -> NoReturn:
        for number in sorted({number for _, number in self.late}):
            each = [late for late, other in self.late if other == number]
            self.record.line(f"proxy {number}: {len(each)} requests to servers gone after the grace, the last {max(each):.2f} s after it")
        if not self.director.running():
            st.finish(st.BROKEN, self.record, "the director ended")
        if self.late:
            st.finish(
                st.BROKEN, self.record,
                f"{len(self.late)} requests by {len({number for _, number in self.late})} proxies to servers that the list"
                f" does not have, up to {max(self.late)[0]:.2f} s after the grace of {GRACE_S} s",
            )
        st.finish(st.HELD, self.record, "no request to servers that are gone after the grace")


def main() -> None:
    record = st.Record(Path(__file__).resolve().parent)
    with tempfile.TemporaryDirectory() as name:
        case = Case(Path(name), record)
        code = st.run_case(case.run(), case.director.kill)
    st.leave(code)


main()
