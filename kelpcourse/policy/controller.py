"""Every decision of a director. It is fed batches of events (interface.py), judges load, then orders."""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections import Counter, defaultdict, deque
from collections.abc import Sequence
from itertools import product

from kelpcourse.policy.actions import (
    Action,
    BindProxy,
    Checkpoint,
    LogMessage,
    ResendOrders,
    RestoreEndpoint,
    SetAdmission,
    SetTimer,
    SetWeight,
    WatchEndpoints,
    WithdrawEndpoint,
)
from kelpcourse.policy.delivery import DeliveryTracker
from kelpcourse.policy.events import (
    DemandReport,
    Endpoint,
    EndpointList,
    EndpointListKind,
    EndpointReport,
    EndpointStatus,
    Event,
    OrdersAccepted,
    OrdersAcknowledged,
    OrdersOutcomeUnknown,
    ProxyJoined,
    ProxyLeft,
    Started,
    TimerFired,
)
from kelpcourse.policy.settings import (
    AdmissionMode,
    EndpointId,
    ProxyId,
    RetryPolicy,
    Settings,
    TableId,
)

TICK_US, PACE_US = (
    1_000_000,
    2_000_000,
)  # demand is read and solved (the design's); ordinary lines go out
OVERLOAD_SHARE, CUT_LEAST, LEVEL_LEAST = (
    0.05,
    0.3,
    0.05,
)  # failed (the design's); of V, of demand; of a class
NEAR_AIM, BUSY_AIM, QUICK_AIM = (
    0.55,
    0.5,
    0.4,
)  # of the aim: too late; full hosts; failures not of load
TESTED, GROW, FOLLOW_US, DRAIN_US = (
    0.75,
    1.18,
    3_000_000,
    3_000_000,
)  # of V to grow, by; full hosts; backlog
REST_AIM, BACKLOG_US = (
    0.4,
    6_000_000,
)  # of an aim may wait: no host runs dry; errors are forgotten in
REPORT_LATE_US, LEVEL_FALL, LEVEL_STEP = (
    700_000,
    0.1,
    0.03,
)  # assumed; of a level: at once; below: no order
SICK_SHARE, SICK_LEAST, SICK_TIMES, SICK_MOST = (
    0.05,
    4,
    10.0,
    0.4,
)  # the design's; by chance; odds; of all
MUTE, FADE, GAP = (
    (0.25, 0.6),
    0.5,
    4.0,
)  # share behind a cut path; kept by report; line times to start anew
RESTORE_US, HEALTH_LEAST, HEALTH_STEP = (
    2_000_000,
    0.04,
    3.0,
)  # without cause; a sick host's part; a step up
SPEED_ANSWERS, SPEED_RANGE, SPEED_LINES, SPEED_TRIES = (
    80.0,
    (0.4, 2.5),
    1.0,
    3,
)  # averaged; learned; first
LOAD_DOUBT, UTIL_LEAST, COLD_MOST, RATE_ALL, PRIOR = (
    0.4,
    0.1,
    2.0,
    1e6,
    4.0,
)  # at odds, noise; of V; of kind
DISTINCT_US, LEFT_LEAST, LINE_STEP = (
    5_000_000,
    0.1,
    0.08,
)  # repeats learned in; beside own classes; no line
HOLD_US, ADOPT_TRIES, MASS = (
    6_000_000,
    12.0,
    15,
)  # tables of before: kept, told by tries a host, if many join
FORGET_US, ASK_FIRST_US, ORDERS_MOST = (
    30_000_000,
    500_000,
    700,
)  # gone for good; asking; in 60,000 bytes
QUEUE_ORDINARY, QUEUE_BIND, QUEUE_MOST, MESSAGES_URGENT = (
    0.5,
    0.6,
    0.95,
    0.8,
)  # of the channel; messages
BIND_GRACE, BIND_LEAST_US, BIND_ALL = (
    0.25,
    1_000_000,
    0.75,
)  # of a grace, for bindings; least; for all
MESSAGES_ORDINARY, TABLE_PART, TABLE_LEAST, COVER = (
    0.6,
    0.5,
    12.0,
    2.0,
)  # messages; connections; lines; of
GOLDEN, FIT, FIT_ROUNDS = (
    0.6180339887498949,
    (0.1, 4.0),
    8,
)  # even on a ring; how far a line is fitted
Numbers = Sequence[float]
Key = tuple[
    frozenset[str], frozenset[str], str, str
]  # a table's hosts: zones, kinds, bound to, beside whom


class Server:
    def __init__(self, host: Endpoint, now_us: int) -> None:
        self.host, self.speed, self.health = host, 1.0, 1.0
        self.unreached, self.cut_us, self.eased_us = (
            False,
            0,
            now_us,
        )  # behind a cut path, until it is back
        self.tries = self.failed = self.good = self.time_us = 0.0
        self.heard_us = self.lines = 0  # when a report last told of tries there; reports heard
        self.load: dict[str, float] = {}

    def take(self, now_us: int, report: EndpointReport) -> None:
        kept = FADE ** min(
            1.0, (now_us - self.heard_us) / max(1, report.window_us)
        )  # they come by turns
        good = report.attempts - report.failed
        self.tries, self.failed = (
            self.tries * kept + report.attempts,
            self.failed * kept + report.failed,
        )
        self.good, self.time_us = (
            self.good * kept + good,
            self.time_us * kept + good * report.mean_success_us,
        )
        self.heard_us, self.lines = now_us, self.lines + 1
        self.load.update(report.load)


def fill(demand: Numbers, volume: float, lower: Numbers, upper: Numbers) -> list[float]:
    """The greatest equal fraction: x_i >= theta n_i, sum x <= V, lb_i V <= x_i <= ub_i V, x_i <= n_i."""
    floors = [
        min(n, lo * volume, up * volume) for n, lo, up in zip(demand, lower, upper, strict=True)
    ]
    if sum(floors) > volume:  # the bounds ask for more than there is: cut them alike
        return [x * volume / sum(floors) for x in floors]

    def at(theta: float) -> list[float]:
        return [
            min(n, u * volume, max(x, theta * n))
            for n, x, u in zip(demand, floors, upper, strict=True)
        ]

    steps = bisect_right(
        range(2**31), volume, key=lambda k: sum(at(k / 2**30))
    )  # theta of 2 takes all
    return at(max(0, steps - 1) / 2**30)


def worth_bounds(demand: Numbers, worth: Numbers, volume: float) -> list[float]:
    """Lower bounds by worth: a class worth more than the mean request is served before the rest share."""
    mean = sum(n * w for n, w in zip(demand, worth, strict=True)) / max(1e-9, sum(demand))
    lower, left = [0.0] * len(demand), 1.0
    for i in sorted((i for i, w in enumerate(worth) if w > mean), key=lambda i: -worth[i]):
        lower[i] = min(left, demand[i] / max(1e-9, volume))
        left -= lower[i]
    return lower


class RoutingPolicy:
    def __init__(self, settings: Settings) -> None:
        self.s, self.now, self.out = settings, 0, list[Action]()
        self.servers, self.proxies = dict[EndpointId, Server](), dict[ProxyId, int]()  # held till
        rate, grace_us = settings.delivery_entries_per_s / 1e6, settings.drain_grace_us
        longest_us = int(settings.max_backlog_entries / rate) + settings.max_transit_us
        self.delivery = DeliveryTracker(
            longest_us,
            rate,
            settings.max_messages_per_proxy,
            settings.message_window_us,
            settings.max_transit_us,
        )
        bind = max(BIND_LEAST_US, min(BIND_GRACE * grace_us, grace_us - longest_us))
        self.spans = {QUEUE_ORDINARY: rate * PACE_US, QUEUE_BIND: rate * bind}
        self.bind_lines = (
            BIND_ALL * rate * grace_us / settings.proxy_count - settings.message_overhead_entries
        )  # for all
        self._lay_out(0)
        self.out_hosts, self.dropped = (
            dict[EndpointId, int](),
            dict[EndpointId, int](),
        )  # withdrawn; to be
        self.doubtful = set[ProxyId]()  # of the loose: holders still, unless they left unseen
        self.loose = dict[
            ProxyId, int
        ]()  # not bound to all their tables, since when: they may hold any host
        self.seen = dict[
            ProxyId, tuple[str, float]
        ]()  # zone and usual rate of all that ever joined
        self.levels, self.volume = (
            [1.0] * len(settings.classes),
            0.0,
        )  # V: best good rate heard lately
        self.heard: dict[
            EndpointId, list[float]
        ] = {}  # good answers and their time since last judged
        self.demand, self.arrived = (
            [0.0] * len(settings.classes) for _ in range(2)
        )  # arrived: since then
        self.unanswered = self.good = self.lost = self.backlog = self.mean_us = self.fleet = 0.0
        self.spans_us, self.cover_us = list[int](), settings.report_period_us  # a line's time
        self.level_log: deque[tuple[int, list[float]]] = deque([(0, list(self.levels))], maxlen=20)
        self.judged_us = self.lines_us = self.lag_us = self.listen_us = self.ask_due_us = (
            self.number
        ) = 0
        self.ask_wait_us, self.distinct = ASK_FIRST_US, 1.0  # part drawn for
        self.shedding = self.watching = self.urgent = False  # urgent until the next orders are out
        self.adopting, self.joins = True, deque[int](maxlen=max(2, settings.proxy_count // MASS))

    def _lay_out(self, hosts: int) -> None:
        """Sizes tables: all hosts, or a part where connections, or lines in a drain's grace, are short."""
        settings, proxies = self.s, self.s.proxy_count
        least = (
            settings.min_endpoint_connections
            if 0 < settings.min_endpoint_connections < proxies
            else float("inf")
        )
        self.part = min(
            1.0, TABLE_PART * least / proxies, max(TABLE_LEAST, self.bind_lines) / max(1, hosts)
        )
        self.groups = round(COVER / self.part + 0.5) if self.part < 1 else 1
        self.loosely = min(1.0, 1.3 * self.part)  # of the hosts at a proxy not bound yet, about
        self.keys, self.levels_sent = dict[Key, list[TableId]](), dict[tuple[TableId, int], float]()
        self.tables = {
            z: [dict[TableId, list[int]]() for _ in range(self.groups)] for z in settings.zones
        }
        for zone, (i, cls) in product(settings.zones, enumerate(settings.classes)):
            key = (
                cls.allowed_zones,
                cls.allowed_kinds,
                zone * cls.same_zone_only,
                zone * (self.part < 1),
            )
            new = [len(self.keys) * self.groups + group for group in range(self.groups)]
            for group, table in enumerate(self.keys.setdefault(key, new)):
                self.tables[zone][group].setdefault(table, []).append(i)
        self.lines: dict[TableId, dict[EndpointId, float]] = {
            t: {} for ts in self.keys.values() for t in ts
        }
        self.holders: dict[TableId, dict[ProxyId, int]] = {table: {} for table in self.lines}

    def step(self, now_us: int, events: Sequence[Event]) -> list[Action]:
        self.now, self.out = now_us, []
        for event in events:
            self._take(event)
        if self.heard and now_us - self.judged_us >= min(TICK_US, self.s.report_period_us) // 2:
            self._judge()
        if self.s.discovery_is_polled and not self.watching and now_us >= self.ask_due_us:
            self.watching = True  # an UNAVAILABLE answer takes it back
            self.out.append(WatchEndpoints(True))
        self._publish()
        return self.out

    def _take(self, event: Event) -> None:
        match event:
            case Started() | TimerFired():
                self.out.append(SetTimer("tick", self.now + TICK_US))
            case EndpointList():
                self._take_list(event)
            case ProxyJoined(proxy, zone, rate, fresh):
                self.joins.append(self.now)
                if proxy in self.proxies and (proxy in self.doubtful or proxy not in self.loose):
                    self.doubtful.add(
                        proxy
                    )  # the news had a gap: it is bound still, or left unseen
                else:
                    self._let_go(proxy)
                self.delivery.proxy_joined(proxy, self.now)
                self.proxies[proxy] = (self.now + HOLD_US) * (self._mass() and not fresh)
                self.loose[proxy], self.seen[proxy] = self.now, (zone, rate)
            case ProxyLeft(proxy) if (
                proxy in self.proxies
            ):  # what it holds is not reported here any more
                self.backlog *= 1 - 1 / len(self.proxies)
                self._let_go(proxy)
                self.delivery.proxy_left(proxy)
            case OrdersAcknowledged(proxy, number, _):
                self.delivery.acknowledged(proxy, number, self.now)
            case OrdersAccepted(number):
                self.delivery.accepted(number, self.now)
            case OrdersOutcomeUnknown(numbers):
                self.delivery.outcome_unknown(numbers)
            case EndpointReport():
                self._take_report(event)
            case DemandReport(_, cls, arrived, unanswered, _):
                self.arrived[cls] += arrived
                self.unanswered += unanswered

    def _mass(self) -> bool:
        return len(self.joins) == self.joins.maxlen and self.now - self.joins[0] <= TICK_US

    def _let_go(self, number: ProxyId) -> None:
        self.doubtful.discard(number)
        for known in (self.proxies, self.loose, *self.holders.values()):
            known.pop(number, None)

    def _take_list(self, event: EndpointList) -> None:
        if event.kind is EndpointListKind.UNAVAILABLE:
            self.watching = False
            self.ask_due_us = self.now + int(
                self.ask_wait_us * (1 + self.s.controller_index * GOLDEN % 1)
            )  # no herd
            self.ask_wait_us = min(
                self.ask_wait_us * 2, max(ASK_FIRST_US, self.s.discovery_poll_deadline_us // 4)
            )
            return
        self.ask_wait_us = ASK_FIRST_US
        if event.kind is not EndpointListKind.CHANGES and not any(
            (*self.lines.values(), *self.holders.values())
        ):
            self._lay_out(len(event.endpoints))  # rule 1: proxies bound to a table stay with it
        if event.kind is not EndpointListKind.CHANGES:
            for gone in sorted(self.servers.keys() - {host.id for host in event.endpoints}):
                self._drop(gone)
        for host in event.endpoints:
            self._take_host(host)
        listed = [v.host.weight for v in self.servers.values() if v.host.weight > 0]
        self.average_weight = sum(listed) / len(listed) if listed else 1.0
        self._follow_fleet()
        self._solve()

    def _take_host(self, host: Endpoint) -> None:
        known = self.servers.get(host.id)
        if host.status is not EndpointStatus.READY:
            self._drop(host.id)
        elif known is None or known.host.started_us != host.started_us:
            self.servers[host.id] = Server(host, self.now)
            self.dropped.pop(host.id, None)
            cold = self._warmth(self.servers[host.id]) < 1
            self.adopting &= not cold  # rule 4: and a cold one at its full weight
            self.urgent = self.urgent or (cold and any(host.id in t for t in self.lines.values()))
        else:
            known.host = host

    def _drop(self, host: EndpointId) -> None:
        self.servers.pop(host, None)
        self.dropped |= (
            {host: self.dropped.get(host, self.now)} if host not in self.out_hosts else {}
        )
        self.adopting = False  # rule 3: tables of before may hold it unshut

    def _take_report(self, event: EndpointReport) -> None:
        good = event.attempts - event.failed
        self.spans_us.append(event.window_us)
        cell = self.heard.setdefault(event.endpoint, [0.0, 0.0])
        cell[:] = cell[0] + good, cell[1] + good * event.mean_success_us
        if event.endpoint in self.servers:
            self.servers[event.endpoint].take(self.now, event)

    def _judge(self) -> None:
        """Rates are all counts told in a time over what a line covers: on large fleets they come by turns."""
        self.cover_us = max(1, sum(self.spans_us) // len(self.spans_us))
        gap_us, self.judged_us = self.now - self.judged_us, self.now
        if gap_us > GAP * self.cover_us:  # as at the start, what came before tells of another time
            gap_us, self.listen_us = self.cover_us, self.now
        span, gain = gap_us / 1e6, min(1.0, gap_us / self.cover_us)
        good = sum(cell[0] for cell in self.heard.values())
        self.good += (good / span - self.good) * gain
        self.lost += (self.unanswered / span - self.lost) * gain  # what timed out took work too
        self.demand = [
            n + (new * self.distinct / span - n) * gain
            for n, new in zip(self.demand, self.arrived, strict=True)
        ]
        self.lag_us = self.s.mean_transit_us + REPORT_LATE_US + self.cover_us // 2
        self.mean_us = sum(cell[1] for cell in self.heard.values()) / good if good > 0 else 0.0
        self._count_let_in(good + self.unanswered, span)
        failures = self._judge_hosts()
        self._correct_speeds()
        self.arrived, self.heard, self.spans_us, self.unanswered = (
            [0.0] * len(self.demand),
            {},
            [],
            0.0,
        )
        self._judge_load(failures, span)

    def _count_let_in(self, ended: float, span: float) -> None:
        """Repeats refused undrawn are not in n_i: while times are sound, what ends shows how many come."""
        let_in = self._let_in(self.arrived, self.now - self.lag_us) * self.distinct
        refused = sum(self.arrived) * self.distinct - let_in
        if (
            sound := self.mean_us < BUSY_AIM * self._mean_aim()
        ):  # what built up before would show in times
            self.backlog = min(self.backlog, self.good * self.mean_us / 1e6)
        self.backlog += let_in - ended
        if sound and refused > 0 < min(let_in, ended):
            part = refused / (refused + let_in) * min(1.0, span * 1e6 / DISTINCT_US)
            self.distinct = min(1.0, max(CUT_LEAST, self.distinct * (ended / let_in) ** part))

    def _judge_hosts(self) -> float:
        """Errors of few hosts are theirs, spread ones overload. The share failed at hosts not held sick."""
        mute = self._cut_path()
        judged = [v for h, v in self.servers.items() if h not in mute]
        total, failed = sum(v.tries for v in judged), sum(v.failed for v in judged)
        sick = sum(1 for v in self.servers.values() if v.health < 1)
        for server in judged:
            rest = (failed - server.failed) / max(
                1.0, total - server.tries - failed + server.failed
            )
            share = server.failed / max(1.0, server.tries)
            failing = share > SICK_SHARE and server.failed >= max(
                SICK_LEAST, SICK_TIMES * rest * (server.good + 1)
            )
            new = (
                server.heard_us - server.cut_us >= self.lag_us + self.cover_us // 2
            )  # else in flight then
            if failing and new and (server.health < 1 or sick < SICK_MOST * len(self.servers)):
                sick += server.health >= 1
                server.health = max(HEALTH_LEAST, server.health * min(0.5, (1 - share) ** 2))
                server.cut_us, self.urgent = self.now, True
            elif server.health < 1 and self.now - max(server.cut_us, server.eased_us) >= RESTORE_US:
                server.health, server.eased_us = min(1.0, server.health * HEALTH_STEP), self.now
                server.unreached &= server.health < 1
        sound = [v for v in self.servers.values() if v.health >= 1]
        return sum(v.failed for v in sound) / max(1.0, sum(v.tries for v in sound))

    def _cut_path(self) -> set[EndpointId]:
        """Many hosts that answer nothing while the rest does lie behind a cut path: no measure for others."""
        mute = [
            v
            for v in self.servers.values()
            if v.failed >= SICK_LEAST and v.host.id in self.heard and not self.heard[v.host.id][0]
        ]
        if not MUTE[0] <= len(mute) / max(1, len(self.servers)) <= MUTE[1]:
            return set()
        for server in mute:
            self.urgent = self.urgent or server.health > HEALTH_LEAST
            server.health, server.unreached, server.cut_us = HEALTH_LEAST, True, self.now
        return {v.host.id for v in mute}

    def _correct_speeds(self) -> None:
        """Shares follow what hosts show they can do; at a start by tables of before, what another learned."""
        tries = sum(v.tries for v in self.servers.values())
        if self.adopting and tries >= ADOPT_TRIES * len(self.servers):
            self.adopting, held = False, sum(until_us > 0 for until_us in self.proxies.values())
            for server in self.servers.values() if 2 * held > len(self.proxies) else ():
                odds = server.tries * len(self.servers) / tries / self._nominal(server)
                server.speed = min(SPEED_RANGE[1], max(SPEED_RANGE[0], server.speed * odds))
        told = [v for v in self.servers.values() if v.good >= SPEED_TRIES and self._warmth(v) >= 1]
        able = {
            v.host.id: v.load["qps"] / v.load["util"]
            for v in told
            if v.load.get("util", 0) > UTIL_LEAST and v.load.get("qps", 0) > 0
        }
        loads = len(able) == len(
            told
        )  # served for each busy core; else times, which fall with speed
        mean_us = max(1.0, sum(v.time_us for v in told)) / max(1.0, sum(v.good for v in told))
        prior_us = {
            kind: PRIOR
            * sum(v.time_us for v in told if v.host.kind == kind)
            / sum(v.good for v in told if v.host.kind == kind)
            for kind in {v.host.kind for v in told}
        }
        lines = SPEED_ANSWERS * len(self.servers) * 1e6 / max(1.0, self.good * self.cover_us)
        for server in [v for v in told if v.host.id in self.heard]:
            odds = (
                mean_us
                * (server.good + PRIOR)
                / max(1.0, server.time_us + prior_us[server.host.kind])
            )
            if (
                loads and odds > LOAD_DOUBT
            ):  # a load report at odds with what tries show is not believed
                odds = (
                    max(able[server.host.id] * len(able) / sum(able.values()), 0.1) / server.speed
                )
            server.speed *= odds ** (1 / (SPEED_LINES + min(server.lines, lines)))
        scale = sum(v.speed for v in told) / max(1, len(told))
        for server in told:
            server.speed = min(SPEED_RANGE[1], max(SPEED_RANGE[0], server.speed / scale))

    def _mean_aim(self) -> float:
        total = sum(
            n * c.latency_objective_us for n, c in zip(self.demand, self.s.classes, strict=True)
        )
        return total / sum(self.demand) if total > 0 else float("inf")

    def _let_in(self, requests: Numbers, when: int) -> float:
        """What the levels ordered at a time let in of so many requests."""
        levels = next(
            (lv for at, lv in reversed(self.level_log) if at <= when), self.level_log[0][1]
        )
        return sum(n * lv for n, lv in zip(requests, levels, strict=True))

    def _judge_load(self, failures: float, span: float) -> None:
        """Overload shows as failures everywhere, as time near the aim, or first as more let in than ended."""
        self._follow_fleet()
        good, aim, mean_us = self.good, self._mean_aim(), self.mean_us
        usual = (
            good * mean_us / 1e6
        )  # held at once if nothing piles up: an estimate falls back to it
        self.backlog = max(
            0.0, self.backlog + (usual - self.backlog) * min(1.0, span * 1e6 / BACKLOG_US)
        )
        failing = (
            failures > OVERLOAD_SHARE and mean_us > QUICK_AIM * aim
        )  # a lossy path fails, not slowly
        busy = mean_us > BUSY_AIM * aim or failing
        settled = (
            self.now - self.listen_us >= self.cover_us
        )  # first reports tell of more come than ended
        if busy and settled:
            self.volume += (good + self.lost / 2 - self.volume) * min(1.0, span * 1e6 / FOLLOW_US)
        elif good > self.volume:
            self.volume = good
        elif self.shedding and good > TESTED * self.volume:  # slower as times near busy
            self.volume *= GROW ** (span * (1 - mean_us / (BUSY_AIM * aim)))
        self.volume = max(self.volume, 1.0)
        expected = max(mean_us, settled * self.backlog / self.volume * 1e6)
        if settled and (failing or expected > NEAR_AIM * aim):
            if not self.shedding:
                why = f"overload: failed {failures:.2f}, expected {expected / 1e6:.2f} s, V {self.volume:.0f}"
                self.out.append(LogMessage(why))
            self.shedding = True
        elif self.shedding and not busy and sum(self.demand) <= self.volume:
            self.shedding = False
            self.out.append(LogMessage(f"overload over, V {self.volume:.0f}/s"))
        self._solve()

    def _able(self, server: Server) -> float:
        return self._nominal(server) * server.health * self._warmth(server)

    def _nominal(self, server: Server) -> float:
        return (
            server.host.weight / self.average_weight if server.host.weight > 0 else 1.0
        ) * server.speed

    def _follow_fleet(self) -> None:
        """V was heard from other hosts and proxies if some came, went or warmed up since: scale it."""
        fleet = sum(self._able(v) / (v.health if v.unreached else 1) for v in self.servers.values())
        fleet *= sum(self.seen[number][1] for number in self.proxies)
        self.volume *= fleet / self.fleet if fleet > 0 and self.fleet > 0 else 1.0
        self.fleet = fleet

    def _cold_bounds(self) -> list[float]:
        """Rule 4: a class left with few hosts, some cold, is let in by what these can do, shedding or not."""
        able = {v.host.id: self._able(v) for v in self.servers.values()}
        total, bounds = sum(able.values()), []
        for cls in self.s.classes:
            hosts = self._open((cls.allowed_zones, cls.allowed_kinds, "", ""))
            cold = total > 0 and self.volume > 0 and any(self._warmth(v) < 1 for v in hosts)
            part = sum(able[v.host.id] for v in hosts) / total if cold else 1.0
            bounds.append(COLD_MOST * self.volume * part if cold else float("inf"))
        return bounds

    def _solve(self) -> None:
        if self.s.admission_mode is AdmissionMode.NONE:
            return
        bounds, worth = self._cold_bounds(), [c.priority_weight for c in self.s.classes]
        if self.shedding:
            steps, lag_us, served = (
                8,
                self.lag_us,
                min(self.volume, sum(self.demand)),
            )  # foreseen: let in
            unseen = sum(
                self._let_in(self.demand, self.now - lag_us * k // steps) - served
                for k in range(steps)
            )
            rest_us = self.volume * REST_AIM * self._mean_aim()
            backlog = self.backlog + (unseen * lag_us / steps - rest_us) / 1e6
            volume = max(CUT_LEAST * self.volume, self.volume - max(0.0, backlog) * 1e6 / DRAIN_US)
            upper = [min(1.0, most / volume) for most in bounds]
            admitted = fill(self.demand, volume, worth_bounds(self.demand, worth, volume), upper)
        else:
            admitted = [min(n, most) for n, most in zip(self.demand, bounds, strict=True)]
        self.levels = [
            max(LEVEL_LEAST, x / n) if n > 0 else 1.0
            for x, n in zip(admitted, self.demand, strict=True)
        ]

    def group(self, number: ProxyId) -> int:
        """Even also within a zone whose proxies are numbered in steps."""
        return int(number * GOLDEN % 1 * self.groups)

    def _open(self, key: Key) -> list[Server]:
        zones, kinds, bound, _ = key
        return [
            v
            for v in self.servers.values()
            if (not zones or v.host.zone in zones)
            and (not kinds or v.host.kind in kinds)
            and (not bound or v.host.zone == bound)
        ]

    def _warmth(self, server: Server) -> float:
        """Least share of its capacity that a host started lately can have by now."""
        age = self.now - server.host.started_us
        cold = server.host.started_us > 0 and age < self.s.warm_up_us > 0
        return (
            self.s.warm_up_min_capacity
            + (1 - self.s.warm_up_min_capacity) * max(0, age) / self.s.warm_up_us
            if cold
            else 1.0
        )

    def _weights(self, key: Key) -> dict[EndpointId, float]:
        servers = self._open(key)
        base = {v.host.id: self._nominal(v) for v in servers}
        weights = {v.host.id: base[v.host.id] * v.health for v in servers}
        cold = [(v, w) for v in servers if (w := self._warmth(v)) < 1]
        for _ in range(
            4
        ):  # rule 4: a cold host's share depends on all the others, so settle them together
            total = sum(weights.values())
            for h, (server, warmth) in ((v.host.id, (v, w)) for v, w in cold):
                share = warmth * base[h] / sum(base.values())
                weights[h] = min(base[h] * server.health * warmth, share * total)
        weights = weights if key[0] or key[1] or key[2] else self._beside(weights)
        pull = self._pull(key[3], weights) if key[3] else {}
        return {
            h: max(w * pull.get(self.servers[h].host.zone, 1.0), 0.001) for h, w in weights.items()
        }

    def _split(self, key: Key) -> list[dict[EndpointId, float]]:
        """Each group's table: all, or a run of each zone's ring, fitted to keep every host's total."""
        weights = self._weights(key)
        if self.groups == 1:
            return [weights]
        size, total = max(TABLE_LEAST, self.part * len(weights)), sum(weights.values())
        runs: list[list[EndpointId]] = [[] for _ in range(self.groups)]
        for zone in sorted({self.servers[h].host.zone for h in weights}):
            ring = sorted((h * GOLDEN % 1, h) for h in weights if self.servers[h].host.zone == zone)
            count = min(len(ring), round(size * sum(weights[h] for _, h in ring) / total))
            for group, run in enumerate(runs):
                first = bisect_left(ring, (group / self.groups, 0))
                run += [ring[(first + k) % len(ring)][1] for k in range(count)]
        come = self.come[key[3]]
        fit = dict.fromkeys(weights, 1.0)
        for _ in range(FIT_ROUNDS):
            got = dict.fromkeys(weights, 0.0)
            for run, rate in zip(runs, come, strict=True):
                part = rate / max(1e-9, sum(weights[h] * fit[h] for h in run))
                for h in run:
                    got[h] += weights[h] * fit[h] * part
            for h, rate in got.items():
                odds = weights[h] * sum(come) / max(1e-9, total * rate)
                fit[h] = min(FIT[1], max(FIT[0], fit[h] * odds))
        return [{h: weights[h] * fit[h] for h in run} for run in runs]

    def _beside(self, weights: dict[EndpointId, float]) -> dict[EndpointId, float]:
        """The shared table leaves out what classes with tables of their own bring to some of its hosts."""
        admitted = [n * lv for n, lv in zip(self.demand, self.levels, strict=True)]
        whole, left = sum(weights.values()) / max(1e-9, sum(admitted)), dict(weights)
        for cls, x in zip(self.s.classes, admitted, strict=True):
            if cls.allowed_zones or cls.allowed_kinds:
                hosts = [
                    v.host.id for v in self._open((cls.allowed_zones, cls.allowed_kinds, "", ""))
                ]
                own = sum(weights[h] for h in hosts)
                for h in hosts:
                    left[h] -= x * whole * weights[h] / own
        return {h: max(w, LEFT_LEAST * weights[h]) for h, w in left.items()}

    def _pull(self, home: str, weights: dict[EndpointId, float]) -> dict[str, float]:
        """Where connections are short proxies prefer their zone's hosts, and no host's total changes."""
        come = max(1e-9, sum(rate for _, rate in self.seen.values()))
        comes = {z: sum(self.come[z]) / come for z in self.s.zones}
        able = {
            z: sum(w for h, w in weights.items() if self.servers[h].host.zone == z)
            / max(1e-9, sum(weights.values()))
            for z in self.s.zones
        }
        own = {z: min(comes[z], able[z]) for z in able}
        over = (comes[home] - own[home]) / max(1e-9, 1 - sum(own.values()))
        return {
            z: ((z == home) * own[z] + over * (able[z] - own[z])) / (comes[home] * able[z])
            for z in able
            if comes[home] * able[z] > 0
        }

    def _room(self, part: float) -> float:
        """Rule 5: lines that may still be ordered. Withdrawals (rule 3) and later solutions wait behind."""
        return (
            min(part * self.s.max_backlog_entries, self.spans.get(part, float("inf"))) - self.queued
        )

    def _need(self, table: TableId) -> float:
        """Lines that one more of a table costs: one at each proxy holding it, with a step's first a head."""
        return len(self.holders[table]) * (
            1 + (self.s.message_overhead_entries + 1) * (table not in self.cost)
        )

    def _charge(self, table: TableId, action: Action | None = None) -> None:
        self.out += [action] if action else []
        self.queued += self._need(table)
        self.cost[table] += 1

    def _publish(self) -> None:
        if self.s.slice_count or not self.delivery.within_message_budget(1.0, self.now):
            return
        if (
            self.delivery.unknown_outcomes
        ):  # rule 5: what comes behind a call that broke waits for it
            if not self.delivery.try_resend(self.now, QUEUE_MOST * self.s.max_backlog_entries):
                return
            self.out.append(ResendOrders())
        self.queued = self.delivery.backlog_entries(self.now)
        self.cost, self.loose_hosts = Counter[TableId](), 0  # withdrawn or back
        late = self._tell_late()
        self._withdraw_dropped()
        due = (
            self.now - self.lines_us >= PACE_US
            or any(  # an overload is answered at once: drains delay it
                self.levels[i] < level - LEVEL_FALL for (_, i), level in self.levels_sent.items()
            )
        )
        due &= (
            bool(self.proxies) or self.groups == 1
        )  # else fitted to how traffic splits over zones
        few, room = self.delivery.within_message_budget, self._room
        if (
            self.loose_hosts
            or (self.urgent and room(QUEUE_MOST) > 0 and few(MESSAGES_URGENT, self.now))
            or (due and room(QUEUE_ORDINARY) > 0 and few(MESSAGES_ORDINARY, self.now))
        ):
            self._send_levels()
            self.urgent, self.lines_us = self._send_lines(), self.now
        lines = Counter[
            ProxyId
        ]()  # to who was bound when they were ordered: a binding restates them
        for table, count in self.cost.items():
            lines.update(dict.fromkeys(self.holders[table], count))
        self._bind_joined(lines, late)
        if self.cost or lines or self.loose_hosts:
            self._checkpoint(lines)

    def _withdraw_dropped(self) -> None:
        """Rule 3: all at once, as heads cost more than hosts; what takes long waits, and gathers."""
        fresh, room = list(self.dropped), self._room(QUEUE_MOST)
        while (cost := self._withdrawal(fresh)) > room + self.queued and fresh[
            1:
        ]:  # than an empty one takes
            fresh = fresh[: len(fresh) // 2]
        soon = self.now - min(self.dropped.values(), default=0) < BIND_GRACE * self.s.drain_grace_us
        long = cost > self.spans[QUEUE_BIND] and (self._room(QUEUE_BIND) < 0 or self._mass())
        for host in fresh if (cost <= room or not self.queued) and not (long and soon) else []:
            self._order_host(host, True)
            del self.dropped[host]
            self.out_hosts[host] = self.now

    def _tell_late(self) -> dict[ProxyId, int]:
        """Rule 3: who joined after a withdrawal is bound first, or told anew soon where that costs less."""
        gone = [h for h in self.out_hosts if h not in self.servers] if self.loose else []
        since = min((self.out_hosts[h] for h in gone), default=self.now)
        late = {number: at for number, at in self.loose.items() if at > since}
        size = (
            sum(map(len, self.lines.values())) / len(self.lines)
            + self.s.message_overhead_entries
            + 1
        )
        if len(late) * size <= self._loose_lines(len(gone)):
            return late
        if self.dropped or self.now - min(late.values()) >= BIND_GRACE * self.s.drain_grace_us:
            self.dropped |= {
                h: self.dropped.get(h, self.now) for h in gone
            }  # behind those nobody knows
        return {}

    def _withdrawal(self, hosts: Sequence[EndpointId]) -> float:
        held = Counter(
            table for host in hosts for table, lines in self.lines.items() if host in lines
        )
        bound = sum(
            len(self.holders[t]) * (n + self.s.message_overhead_entries + 1)
            for t, n in held.items()
        )
        return bound + self._loose_lines(len(hosts))

    def _loose_lines(self, hosts: int) -> float:
        """What so many hosts cost proxies not bound yet, of which it is not known which hold them."""
        others, reached = len(self.loose) - len(self.doubtful), 1 - (1 - self.loosely) ** hosts
        return others * (self.loosely * hosts + (self.s.message_overhead_entries + 1) * reached)

    def _order_host(self, host: EndpointId, out: bool) -> None:
        """Its lines go with a host withdrawn: that costs bound proxies no more, later tellings nothing."""
        held = [table for table, lines in self.lines.items() if host in lines]
        taken = out and len(self.out) + len(held) < ORDERS_MOST
        for table in held:
            self._charge(table, SetWeight(table, host, 0.0) if taken else None)
            if taken:
                del self.lines[table][host]
        self.out.append(WithdrawEndpoint(host) if out else RestoreEndpoint(host))
        self.queued += self._loose_lines(self.loose_hosts + 1) - self._loose_lines(self.loose_hosts)
        self.loose_hosts += 1

    def _send_lines(self) -> bool:
        """A cold host's fall (rule 4) in all room left, new hosts, then the most for what messages cost."""
        changes: list[tuple[int, float, float, EndpointId, TableId, float]] = []
        self.come = defaultdict[str, list[float]](
            lambda: [1e-9] * self.groups
        )  # to each zone's groups
        for number, (
            zone,
            rate,
        ) in self.seen.items():  # who is joined now is a chance part of the fleet
            self.come[zone][self.group(number)] += rate
        for key, tables in self.keys.items():
            for table, wanted in zip(tables, self._split(key), strict=True):
                held, found = self.lines[table], list[tuple[int, float, EndpointId, float]]()
                for host in held | wanted:
                    old, weight = held.get(host, 0.0), wanted.get(host, 0.0)
                    if abs(weight - old) > LINE_STEP * old:
                        falls = 0 < weight < old and self._warmth(self.servers[host]) < 1
                        size = abs(weight - old) if weight or host in self.servers else 0.0
                        found.append((2 if falls else int(not old), size, host, weight))
                worth = sum(size for _, size, _, _ in found) / (
                    len(found) + self.s.message_overhead_entries + 1
                )
                changes += [
                    (-first, -worth, -size, host, table, w) for first, size, host, w in found
                ]
        waiting = dict[EndpointId, int]()
        part = 0.0 if self.out_hosts and self.loose else QUEUE_ORDINARY  # bindings go first
        for first, _, _, host, table, weight in sorted(changes):
            room = (
                self._room(QUEUE_MOST if first == -2 else part)
                if len(self.out) < ORDERS_MOST
                else 0.0
            )
            if room < self._need(table) and self.lines[table]:
                waiting[host] = min(first, waiting.get(host, 0))
                continue
            self.lines[table].pop(host, None)
            self.lines[table] |= {host: weight} if weight > 0 else {}
            self._charge(table, SetWeight(table, host, weight))
        back = [
            h for h in self.out_hosts if h in self.servers and h not in waiting
        ]  # no old weights
        if self.cost and not self.loose:  # beside other orders: what is withdrawn must not grow
            back += [
                h
                for h, at in self.out_hosts.items()
                if self.now - at >= FORGET_US
                and h not in self.servers
                and not any(h in lines for lines in self.lines.values())
            ]
        for host in sorted(back)[: max(0, int(self._room(QUEUE_BIND) / max(1, len(self.proxies))))]:
            del self.out_hosts[host]
            self._order_host(host, False)
        return -2 in waiting.values()

    def _send_levels(self) -> None:
        self.level_log.append((self.now, list(self.levels)))
        for i, level in enumerate(self.levels):
            rate = level * self.demand[i] / max(1, len(self.proxies)) if level < 1 else RATE_ALL
            quota = (
                rate if self.s.admission_mode is AdmissionMode.RATE else level
            )  # as this site's proxies read it
            for table in {
                t for groups in self.tables.values() for at in groups for t in at if i in at[t]
            }:
                sent = self.levels_sent.get((table, i), -1.0)
                changed = abs(sent - level) >= LEVEL_STEP or (level >= 1 > sent)
                if changed and self._room(QUEUE_MOST) >= self._need(table):
                    self.levels_sent[table, i] = level
                    self._charge(
                        table, SetAdmission(table, (i,), quota, RetryPolicy.IF_NOT_EXECUTED)
                    )  # rule 2

    def _bind_joined(self, lines: Counter[ProxyId], late: dict[ProxyId, int]) -> None:
        """Proxies that join are bound as the channel has room, unless a table of before serves them still."""
        for number in [
            n for n in {**late, **self.loose} if not self.adopting or self.now >= self.proxies[n]
        ]:
            tables, again = (
                self.tables.get(self.seen[number][0], [{}] * self.groups),
                number in self.doubtful,
            )
            mine = tables[self.group(number)]
            new = {
                t: 1 + len(self.lines[t]) + len(cls) + len(self.lines[t].keys() & self.out_hosts)
                for t, cls in mine.items()
                if self.lines[t] and (again or number not in self.holders[t])
            }
            size = sum(new.values()) + self.s.message_overhead_entries + 1
            up = number in late and not self.loose_hosts and not self._mass()
            if (
                new
                and self.queued
                and (self.dropped or self._room(QUEUE_MOST if up else QUEUE_BIND) < size)
            ):
                break  # rule 3: all that fill the channel must not keep hosts to be withdrawn out of it
            self.doubtful.discard(number)
            for holders in self.holders.values() if again else ():
                holders.pop(number, None)
            for table in new:  # rule 1: a table without lines would take what it holds
                self.holders[table][number] = self.now
                self.out.append(BindProxy(number, table, tuple(mine[table])))
            if new:
                lines[number], self.queued = lines[number] + sum(new.values()), self.queued + size
            if all(number in self.holders[t] for t in mine):
                del self.loose[number]

    def _checkpoint(self, lines: Counter[ProxyId]) -> None:
        self.number = (self.number + 1) % 65536
        self.out.append(Checkpoint(self.number, False))
        cost = {
            number: count + self.s.message_overhead_entries + 1 for number, count in lines.items()
        }
        self.delivery.record_sent(
            self.number, self.now, cost, self._loose_lines(self.loose_hosts), self.loose
        )
