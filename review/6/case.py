"""Case 6: six in ten servers are replaced within 7 s, and the director stops ordering withdrawals half-way."""

from __future__ import annotations

import asyncio
import sys
import tempfile
import time
from pathlib import Path
from typing import NoReturn

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import standins_2 as st

PROXIES = 24  # a third of 53 to 71 forwarders; messages and lines count for each proxy alike
HOSTS = 30  # LATER.md: 30 hosts
REQUESTS_PER_S = 5.5  # of each proxy
STEADY_S = 13.0
REPLACED = 18  # STANDING.md: six in ten
WITHIN_S = 7.0
LIST_PERIOD_S = 0.16  # discovery writes the changes of so long a time at once (site file: 0.16 to 1.2 s)
SUCCESSOR_AFTER_S = 1.2
GONE_AFTER_S = 6.0
GRACE_S = 1.5 + 0.3  # the day's grace, and the slack of the rules on sockets
FIRST_ANSWER_SLACK_S = 1.0
SEED = 6


class Case:
    def __init__(self, folder: Path, record: st.Record) -> None:
        self.record = record
        self.hosts = {
            f"s-{k}": st.Host(f"s-{k}", st.ZONES[k % 2], k // 4) for k in range(HOSTS)
        }
        self.discovery = st.Discovery(list(self.hosts.values()))
        proxies = []
        for number in range(PROXIES):
            zone = st.ZONES[number % 2]
            of_zone = [name for name, host in self.hosts.items() if host.zone == zone]
            standing = [of_zone[(number // 2 + k) % len(of_zone)] for k in range(5)]
            proxies.append(st.Proxy(number, zone, REQUESTS_PER_S, standing))
        self.relay = st.Relay(proxies, self.discovery, record, SEED)
        self.traffic = st.Traffic(self.relay, self.hosts, SEED, self.on_request)
        self.director = st.Director(folder, record, st.free_address())
        self.told: dict[str, float] = {}
        self.judged_from = float("inf")
        self.late: dict[str, list[float]] = {}
        self.late_proxies: dict[str, set[int]] = {}
        self.requests = 0

    def on_told(self, entries: list[dict[str, object]]) -> None:
        for entry in entries:
            if entry["phase"] != "ready":
                self.told.setdefault(str(entry["id"]), st.now())
            self.record.line(f"discovery told the director: {entry['id']} is {entry['phase']}")

    def on_request(self, proxy: st.Proxy, request_class: str, host: st.Host | None) -> None:
        self.requests += 1
        if host is None or host.name not in self.told or st.now() < self.judged_from:
            return
        late = st.now() - max(self.told[host.name], proxy.joined_at) - GRACE_S
        if late > 0:
            self.late.setdefault(host.name, []).append(late)
            self.late_proxies.setdefault(host.name, set()).add(proxy.number)

    async def replace(self) -> None:
        """Replaces servers one after another; discovery tells each batch of changes at once."""
        loop = asyncio.get_running_loop()
        begin = st.now()
        leaving = [f"s-{k}" for k in range(REPLACED)]  # both rooms in turn
        changes: list[tuple[float, str, str]] = []
        for position, name in enumerate(leaving):
            at = WITHIN_S * position / len(leaving)
            changes.append((at, name, "draining"))
            changes.append((at + SUCCESSOR_AFTER_S, f"{name}-next", "ready"))
            changes.append((at + GONE_AFTER_S, name, "gone"))
        batches: dict[int, list[tuple[float, str, str]]] = {}
        for change in sorted(changes):
            batches.setdefault(int(change[0] / LIST_PERIOD_S) + 1, []).append(change)
        for number, batch in batches.items():
            await asyncio.sleep(max(0.0, begin + number * LIST_PERIOD_S - loop.time()))
            self._tell(batch, begin)

    def _tell(self, batch: list[tuple[float, str, str]], begin: float) -> None:
        changed = {}
        for at, name, phase in batch:
            if name not in self.hosts:
                former = self.hosts[name.removesuffix("-next")]
                self.hosts[name] = st.Host(name, former.zone, former.cell)
                self.hosts[name].up_since_ms = (time.time() - (st.now() - begin - at)) * 1e3
            self.hosts[name].phase = phase
            changed[name] = self.hosts[name]
        self.discovery.publish(list(changed.values()))

    async def run(self) -> None:
        await self.discovery.start()
        await self.relay.start()
        self.discovery.on_told = self.on_told
        for proxy in self.relay.proxies.values():
            self.relay.join(proxy)
        self.director.write_config(
            self.discovery.address, self.relay.address, self.discovery.complete(), st.settings(PROXIES)
        )
        self.director.start()
        if not await self.director.answers():
            st.finish(st.NOT_RUN, self.record, "the director did not start")
        self.judged_from = st.now() + FIRST_ANSWER_SLACK_S
        collectors = st.Collectors(self.traffic, self.director.listen)
        tasks = [asyncio.create_task(collectors.run(zone)) for zone in st.ZONES]
        tasks.append(asyncio.create_task(self.traffic.run()))
        await asyncio.sleep(STEADY_S)
        unbound = [number for number, proxy in self.relay.proxies.items() if not proxy.bound]
        if unbound or not self.director.running():
            st.finish(st.NOT_RUN, self.record, f"not steady: unbound proxies {unbound}")
        if st.trouble():
            self.record.line(f"trouble: {REPLACED} of {HOSTS} servers are replaced within {WITHIN_S} s")
            await self.replace()
        else:
            # An ordinary day: one server is taken out, so that the check has something to check.
            self.hosts["s-0"].phase = "draining"
            self.discovery.publish([self.hosts["s-0"]])
            await asyncio.sleep(WITHIN_S + GONE_AFTER_S)
        await asyncio.sleep(6.0)
        for task in tasks:
            task.cancel()
        self.judge()

    def judge(self) -> NoReturn:
        worst = 0.0
        for name, told in sorted(self.told.items(), key=lambda item: item[1]):
            out = self.relay.first_out.get(name)
            waited = f"{out - told:.2f} s" if out else "never"
            late = self.late.get(name, [])
            worst = max([worst, *late])
            self.record.line(
                f"{name}: OUT ordered {waited} after it was told; requests after the grace: {len(late)} by"
                f" {len(self.late_proxies.get(name, ()))} proxies, the last {max(late, default=0):.2f} s after it"
            )
        self.record.line(f"most messages to one proxy within 10 s: {self.relay.most_messages} (allowed: 12); requests in all: {self.requests}")
        if not self.director.running():
            st.finish(st.BROKEN, self.record, "the director ended")
        count = sum(map(len, self.late.values()))
        if count:
            st.finish(
                st.BROKEN, self.record,
                f"{count} requests to {len(self.late)} draining servers up to {worst:.2f} s after the grace of {GRACE_S} s",
            )
        st.finish(st.HELD, self.record, f"no request to {len(self.told)} draining servers after the grace")


def main() -> None:
    record = st.Record(Path(__file__).resolve().parent)
    with tempfile.TemporaryDirectory() as name:
        case = Case(Path(name), record)
        code = st.run_case(case.run(), case.director.kill)
    st.leave(code)


main()
