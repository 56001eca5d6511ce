"""Building blocks for tests of the module alone: settings, hosts, reports and a played-out clock."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import replace
from typing import Any, TypeVar

from kelpcourse.decide import Director
from kelpcourse.interface import (
    Action,
    Admission,
    DemandReport,
    Effect,
    Event,
    Host,
    HostList,
    HostReport,
    HostState,
    ListKind,
    OrdersApplied,
    ProxyJoined,
    RequestClass,
    Retry,
    Scope,
    SetLevel,
    SetLine,
    SetTimer,
    Settings,
    Started,
    TimerFired,
)

SECOND = 1_000_000
A = TypeVar("A")

READ = RequestClass(
    name="read",
    aim_us=1_000_000,
    deadline_us=3_000_000,
    worth=1.0,
    effect=Effect.SAFE,
    repeat_scope=Scope.ALL,
    repeat_window_us=0,
    only_zones=frozenset(),
    only_kinds=frozenset(),
    zone_bound=False,
    writes=False,
)
WRITE = replace(READ, name="write", worth=4.0, effect=Effect.UNSAFE, writes=True)

SETTINGS = Settings(
    director=0,
    directors=1,
    zone="east",
    zones=("east", "west"),
    classes=(READ, WRITE),
    must_ask=False,
    ask_within_us=0,
    load_inline=False,
    load_on_probe=False,
    load_names=(),
    probing=False,
    peers=False,
    admission=Admission.SHARE,
    usual_retry=Retry.PROVEN_UNRUN,
    slices=0,
    single_owner=False,
    proxies=4,
    report_period_us=SECOND,
    channel_lines_per_s=3000.0,
    channel_backlog=3000.0,
    message_head=6.0,
    connections_least=500.0,
    messages_most=0,
    messages_over_us=10 * SECOND,
    transit_mean_us=200_000,
    transit_longest_us=600_000,
    full_may_have_run=True,
    only_draining_binds=False,
    bare_limit_us=5 * SECOND,
    drain_grace_us=2 * SECOND,
    cold_from=0.2,
    cold_us=12 * SECOND,
    fall_multiple=3.0,
    fall_us=2 * SECOND,
)


def host(
    number: int,
    zone: str = "east",
    state: HostState = HostState.READY,
    started: int = 0,
    kind: str = "std",
    weight: float = 1.0,
) -> Host:
    return Host(number, zone, kind, 0, weight, state, started)


def hosts(count: int, first: int = 100) -> list[Host]:
    return [host(first + k, "east" if k % 2 == 0 else "west") for k in range(count)]


def full(listed: Iterable[Host], version: int = 1) -> HostList:
    return HostList(ListKind.FULL, version, tuple(listed))


def changes(listed: Iterable[Host], version: int = 2) -> HostList:
    return HostList(ListKind.CHANGES, version, tuple(listed))


def only(actions: Iterable[Action], kind: type[A]) -> list[A]:
    return [action for action in actions if isinstance(action, kind)]


class LongTables(Director):
    """Tables as long as connections allow: bindings take most of a grace, so that every defence is needed."""

    def _lay_out(self, hosts: int) -> None:
        self.bind_lines = float(hosts)
        super()._lay_out(hosts)


class Day:
    """Feeds a director, keeps the tables as proxies would hold them, and answers its timers."""

    def __init__(
        self,
        settings: Settings = SETTINGS,
        listed: Sequence[Host] = (),
        start: int = 50 * SECOND,
        proxies: int = 4,
        answers: bool = True,
        make: Callable[[Settings], Director] = Director,
    ) -> None:
        self.settings = settings
        self.director = make(settings)
        self.now = start
        self.answers = answers
        self.timers: list[SetTimer] = []
        self.joined = list(range(proxies))
        self.tables: dict[int, dict[int, float]] = {}
        self.levels: dict[int, float] = dict.fromkeys(range(len(settings.classes)), 1.0)
        self.log: list[tuple[int, Action]] = []
        self.late: list[Event] = []
        self.send(Started(7), HostList(ListKind.RESTORED, 1, tuple(listed)))
        self.send(
            *(
                ProxyJoined(p, settings.zones[p % len(settings.zones)], 10.0, True)
                for p in self.joined
            )
        )

    def send(self, *events: Event) -> list[Action]:
        actions = self.director.step(self.now, events)
        for action in actions:
            self.log.append((self.now, action))
            self._apply(action)
        return actions

    def _apply(self, action: Any) -> None:
        if isinstance(action, SetTimer):
            self.timers.append(action)
        elif isinstance(action, SetLine):
            table = self.tables.setdefault(action.table, {})
            table.pop(action.host, None)
            if action.weight > 0:
                table[action.host] = action.weight
        elif isinstance(action, SetLevel):
            for position in action.classes:
                self.levels[position] = action.level
        elif type(action).__name__ == "Checkpoint" and self.answers:
            self.late += [OrdersApplied(p, action.number, 200_000) for p in self.joined]

    def until(self, when: int) -> list[Action]:
        """Lets the clock run to `when`, firing timers and acknowledging orders on the way."""
        out: list[Action] = []
        while self.timers and min(t.at_us for t in self.timers) <= when:
            timer = min(self.timers, key=lambda t: t.at_us)
            self.timers.remove(timer)
            self.now = max(self.now, timer.at_us)
            late, self.late = self.late, []
            out += self.send(*late, TimerFired(timer.name))
        self.now = max(self.now, when)
        return out

    def second(
        self,
        listed: Iterable[Host],
        time_us: int = 200_000,
        failed: dict[int, float] | None = None,
        times: dict[int, int] | None = None,
        demand: Sequence[int] = (20, 5),
        tries: int = 20,
        load: Mapping[int, tuple[tuple[str, float], ...]] | None = None,
        unanswered: int = 0,
    ) -> list[Action]:
        """One second goes by, then a report on it comes in; each proxy lost so many of its first class."""
        out = self.until(self.now + SECOND)
        events: list[Event] = []
        for h in listed:
            share = (failed or {}).get(h.id, 0.0)
            lost = round(tries * share)
            mean = (times or {}).get(h.id, time_us) if lost < tries else 0
            report = (load or {}).get(h.id, ())
            events.append(HostReport(h.id, "east", tries, lost, SECOND, mean, report))
        for proxy in self.joined:
            events += [
                DemandReport(proxy, k, n, unanswered * (not k), SECOND)
                for k, n in enumerate(demand)
            ]
        return out + self.send(*events)

    def share(self, number: int, table: int = 0) -> float:
        lines = self.tables[table]
        return lines.get(number, 0.0) / sum(lines.values())
