"""Case 7: forwarders restart while one news connection is silent; one of them is never bound to its tables."""

from __future__ import annotations

import asyncio
import sys
import tempfile
from pathlib import Path
from typing import NoReturn

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import standins_2 as st

PROXIES = 6
HOSTS = 12
REQUESTS_PER_S = 10.0  # of each proxy
STEADY_S = 10.0
AWAY_S = 1.4  # a front router that died is back after 1.4 to 5 s
FIRST_DEATH_S = 0.3  # after the director's news connections were opened
SILENT_S = 4.0  # for so long nothing comes on the news connection, then it is reset
WATCHED_S = 22.0  # after the forwarders came back
BLACKHOLE_S = 7.2 + 0.3  # the limit of the first rule, and the slack of the rules on sockets
FIRST_ANSWER_SLACK_S = 1.0
SEED = 7


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
        # The relay writes an event to the connection that was opened last first.
        self.relay = st.Relay(proxies, self.discovery, record, SEED, newest_first=True)
        self.relay.piece_delay_s = 0.03  # the head of the news, then its lines
        self.traffic = st.Traffic(self.relay, self.hosts, SEED, self.on_request)
        self.director = st.Director(folder, record, st.free_address())
        self.judged_from = float("inf")
        self.opened = asyncio.Event()
        # Time since which a proxy has had no line for a class, and the longest such time, by proxy and class.
        self.longest: dict[tuple[int, str], float] = {}
        self.refused = 0
        self.requests = 0

    def on_request(self, proxy: st.Proxy, request_class: str, host: st.Host | None) -> None:
        self.requests += 1
        if host is None:
            self.refused += 1

    async def watch_lines(self) -> None:
        """Measures for how long each joined proxy has no line to pick; all servers are ready and warm all day."""
        while True:
            await asyncio.sleep(0.05)
            for proxy in self.relay.proxies.values():
                for request_class in st.CLASSES:
                    if not proxy.joined or proxy.choices(request_class, self.hosts) or st.now() < self.judged_from:
                        proxy.without_since.pop(request_class, None)
                        continue
                    since = proxy.without_since.setdefault(request_class, max(st.now(), proxy.joined_at))
                    key = (proxy.number, request_class)
                    self.longest[key] = max(self.longest.get(key, 0.0), st.now() - since)

    async def restart(self, numbers: list[int], spread_s: float) -> None:
        """Proxies die and come back, each with its standing table alone."""
        for number in numbers:
            self.relay.leave(self.relay.proxies[number], dies=True)
        await asyncio.sleep(AWAY_S)
        for number in numbers:
            self.relay.join(self.relay.proxies[number])
            await asyncio.sleep(spread_s)

    async def run(self) -> None:
        await self.discovery.start()
        await self.relay.start()
        for proxy in self.relay.proxies.values():
            self.relay.join(proxy)
        opened: list[st.News] = []

        def on_opened(news: st.News) -> None:
            opened.append(news)
            if len(opened) == 2:
                self.opened.set()

        self.relay.on_news_opened = on_opened
        self.director.write_config(
            self.discovery.address, self.relay.address, self.discovery.complete(), st.settings(PROXIES)
        )
        self.director.start()
        if not await self.director.answers():
            st.finish(st.NOT_RUN, self.record, "the director did not start")
        self.judged_from = st.now() + FIRST_ANSWER_SLACK_S
        tasks = [asyncio.create_task(self.traffic.run()), asyncio.create_task(self.watch_lines())]
        collectors = st.Collectors(self.traffic, self.director.listen)
        tasks += [asyncio.create_task(collectors.run(zone)) for zone in st.ZONES]
        await asyncio.wait_for(self.opened.wait(), 10)
        await asyncio.sleep(FIRST_DEATH_S)
        self.record.line("proxy 0 is restarted")
        await self.restart([0], 0)
        await asyncio.sleep(STEADY_S)
        unbound = [number for number, proxy in self.relay.proxies.items() if not proxy.bound]
        if unbound or not self.director.running():
            st.finish(st.NOT_RUN, self.record, f"not steady: unbound proxies {unbound}")
        if st.trouble():
            self.record.line(f"trouble: news connection {opened[0].number} falls silent")
            opened[0].silent = True
            asyncio.get_running_loop().call_later(SILENT_S, opened[0].reset)
        await asyncio.sleep(0.2)
        self.record.line("proxies 1, 2 and 3 are restarted")
        await self.restart([1, 2, 3], 0.05)
        await asyncio.sleep(WATCHED_S)
        for task in tasks:
            task.cancel()
        self.judge()

    def judge(self) -> NoReturn:
        for (number, request_class), longest in sorted(self.longest.items()):
            self.record.line(f"proxy {number}: at most {longest:.2f} s without a line for {request_class} (allowed: {BLACKHOLE_S})")
        for proxy in self.relay.proxies.values():
            self.record.line(f"proxy {proxy.number} ({proxy.zone}): joined {proxy.joined}, bound {proxy.bound or 'to no table'}")
        self.record.line(f"requests: {self.requests}, refused for want of a server: {self.refused}")
        if not self.director.running():
            st.finish(st.BROKEN, self.record, "the director ended")
        worst = max(self.longest.values(), default=0.0)
        if worst > BLACKHOLE_S:
            (number, request_class), _ = max(self.longest.items(), key=lambda item: item[1])
            st.finish(
                st.BROKEN, self.record,
                f"proxy {number} had no line for {request_class} for {worst:.1f} s, to the end, while all servers were ready",
            )
        st.finish(st.HELD, self.record, f"at most {worst:.2f} s without a line")


def main() -> None:
    record = st.Record(Path(__file__).resolve().parent)
    with tempfile.TemporaryDirectory() as name:
        case = Case(Path(name), record)
        code = st.run_case(case.run(), case.director.kill)
    st.leave(code)


main()
