"""Stand-ins of the second review: relay with proxies, discovery, report collectors, and a controller process.

They follow the operators' protocol pages. Everything runs on one asyncio loop and on loopback addresses; the controller
is a process of its own, started by the `run` command of the deploy file. Only the standard library is used.

The channel of a controller is modelled as the pages tell it: what one call orders becomes one message for each proxy
concerned, a message costs its lines and a head, messages leave one after another at a fixed rate and reach a proxy in
order after a transit time. A proxy holds the tables that reached it and picks by weight among lines that are not withdrawn.
"""

from __future__ import annotations

import asyncio
import contextlib
import heapq
import json
import os
import random
import signal
import socket
import subprocess
import sys
import time
import tomllib
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, NoReturn

ROOT = Path(__file__).resolve().parent.parent
ZONES = ("room-a", "room-b")
READ, SUBMIT = "board-read", "move-submit"
CLASSES = (READ, SUBMIT)
CLASS_SHARE = {READ: 0.79, SUBMIT: 0.21}
HELD, BROKEN, NOT_RUN = 0, 1, 2  # exit codes of a case


def now() -> float:
    """Returns the time in seconds on the monotonic clock."""
    return time.monotonic()


class Record:
    """Writes record.txt: what was sent, answered and run, with the seconds since the start of the case."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._start = now()

    def line(self, text: str) -> None:
        if self._file.closed:
            return
        self._file.write(f"{now() - self._start:8.3f} {text}\n")
        self._file.flush()

    def close(self) -> None:
        self._file.close()


def free_address() -> tuple[str, int]:
    with socket.create_server(("127.0.0.1", 0)) as sock:
        host, port = sock.getsockname()
        return host, port


def text(address: tuple[str, int]) -> str:
    return f"{address[0]}:{address[1]}"


def settings(proxy_count: int, **changes: Any) -> dict[str, Any]:
    """Returns settings like those of the small two-room deployment, under the simulator's names."""
    family = {
        "admission": "fraction",
        "blackhole_us": 7_200_000,
        "class_writes": [False, True],
        "egress_per_s": 3000.0,
        "head": 6.0,
        "messages_most": 12,
        "messages_over_us": 10_000_000,
        "one_owner": False,
        "partitions_n": 0,
        "pending_max": 3000.0,
        "period_us": 2_000_000,
        "propagation_us": 310_000,
        "proxy_count": proxy_count,
        "transit_max_us": 890_000,
        "usual_how": 1,
        "zone_bound": [False, False],
    }
    rules = {
        "ask_within_us": 10_000_000,
        "cold_from": 0.17,
        "cold_us": 14_000_000,
        "fall_us": 2_000_000,
        "full_may_have_run": True,
        "overload_factor": 3.0,
        "stop_sending_within_us": 1_500_000,
    }
    for name, value in changes.items():
        (family if name in family else rules)[name] = value
    read = {
        "name": READ, "aim_us": 750_000, "hard_limit_us": 2_000_000, "effect": "read_like", "group": "all",
        "late_worth": 0.2, "window_us": 5_000_000, "worth": 1.0,
    }
    submit = {
        "name": SUBMIT, "aim_us": 800_000, "hard_limit_us": 2_000_000, "effect": "non_idempotent", "group": "all",
        "late_worth": 0.1, "window_us": 5_000_000, "worth": 3.0, "only_zones": ["room-a"],
    }
    return {
        "az": "room-a",
        "bounds": {"probing": True, "peers": False, "connect_timeout_us": 250_000, "cpu_us_per_s": 400_000},
        "discovery": "on_request",
        "family": "control",
        "family_info": family,
        "invariants": rules,
        "lanes": [read, submit],
        "me": 0,
        "siblings": 1,
        "stats": {"how": "on_probe", "names": ["inflight"]},
        "tick_us": 2000,
        "weights": "off",
        "zones": list(ZONES),
    }


@dataclass
class Host:
    """A server; `port` is a loopback port at which nothing needs to listen, as the director sends it no request."""

    name: str
    zone: str
    cell: int
    phase: str = "ready"
    up_since_ms: float = 0.0
    requests: int = 0

    def entry(self) -> dict[str, Any]:
        return {
            "id": self.name, "host_port": "127.0.0.1:9", "locality": self.zone, "flavor": "large",
            "cell": self.cell, "phase": self.phase, "size": 1.0, "up_since_ms": self.up_since_ms,
        }


def serves(host: Host, request_class: str) -> bool:
    return request_class != SUBMIT or host.zone == "room-a"


# HTTP/1.1, as much of it as the protocol page needs.


async def read_request(reader: asyncio.StreamReader) -> tuple[str, str, bytes] | None:
    """Returns method, target and body of the next request; None if the connection ended."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode().split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    size = 0
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name.lower() == "content-length":
            size = int(value)
    try:
        body = await reader.readexactly(size) if size else b""
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return method, target, body


def response(status: int, body: bytes) -> bytes:
    return b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s" % (status, len(body), body)


CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"


def chunk(line: bytes) -> bytes:
    return b"%x\r\n%s\n\r\n" % (len(line) + 1, line)


def reset(writer: asyncio.StreamWriter) -> None:
    """Closes a connection with a TCP reset."""
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
    writer.transport.abort()


class Discovery:
    """The list of servers: complete lists and watches; changes are written to all watches in batches."""

    def __init__(self, hosts: list[Host], revision: int = 41) -> None:
        self.hosts = {host.name: host for host in hosts}
        self.revision = revision
        self.history: list[tuple[int, list[dict[str, Any]]]] = []
        self.first_revision = revision
        self._watches: list[asyncio.StreamWriter] = []
        self._server: asyncio.Server | None = None
        self.address = ("127.0.0.1", 0)
        # Called with the entries right after they were written to a watch.
        self.on_told: Callable[[list[dict[str, Any]]], None] = lambda entries: None
        # Called with the first object of each watch.
        self.on_first: Callable[[dict[str, Any]], None] = lambda first: None

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = self._server.sockets[0].getsockname()[:2]

    def complete(self) -> dict[str, Any]:
        entries = [host.entry() for host in self.hosts.values() if host.phase != "gone"]
        return {"revision": self.revision, "complete": True, "members": entries}

    def publish(self, hosts: list[Host]) -> None:
        """Makes the present state of these servers a new version and writes it to the watches."""
        entries = [host.entry() for host in hosts]
        for host in hosts:
            self.hosts[host.name] = host
        self.revision += 1
        self.history.append((self.revision, entries))
        line = json.dumps({"revision": self.revision, "complete": False, "members": entries}).encode()
        for writer in list(self._watches):
            writer.write(chunk(line))
        if self._watches:
            self.on_told(entries)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        request = await read_request(reader)
        if request is None:
            writer.close()
            return
        if "stream=1" not in request[1]:
            writer.write(response(200, json.dumps(self.complete()).encode()))
            await writer.drain()
            writer.close()
            return
        index = int(request[1].split("index=")[1])
        if index < self.first_revision or index > self.revision:
            first = self.complete()
        else:
            members: dict[str, Any] = {}
            for revision, entries in self.history:
                if revision > index:
                    members.update({entry["id"]: entry for entry in entries})
            first = {"revision": self.revision, "complete": False, "members": list(members.values())}
        writer.write(CHUNKED_HEAD + chunk(json.dumps(first).encode()))
        self._watches.append(writer)
        self.on_first(first)
        try:
            while True:
                with contextlib.suppress(TimeoutError):
                    if not await asyncio.wait_for(reader.read(1024), 2.0):
                        return
                writer.write(chunk(b""))
        except ConnectionError:
            return
        finally:
            if writer in self._watches:
                self._watches.remove(writer)
            writer.close()


@dataclass
class Proxy:
    """A proxy: the tables that reached it, the withdrawals that it observes, and its standing table."""

    number: int
    zone: str
    rate: float
    standing: list[str]
    joined: bool = False
    joined_at: float = 0.0
    has_ordered_table: bool = False
    bound: dict[str, int] = field(default_factory=dict)  # table by class
    tables: dict[int, dict[str, float]] = field(default_factory=dict)
    withdrawn: set[str] = field(default_factory=set)
    levels: dict[tuple[int, str], float] = field(default_factory=dict)
    life: int = 0  # messages to an earlier stream are lost
    next_arrival: float = 0.0
    without_since: dict[str, float] = field(default_factory=dict)

    def lines(self, request_class: str) -> dict[str, float]:
        """Returns the lines of the table that the class uses."""
        table = self.bound.get(request_class)
        if table is None:
            return dict.fromkeys(self.standing, 1.0)
        return self.tables.get(table, {})

    def choices(self, request_class: str, hosts: dict[str, Host]) -> dict[str, float]:
        return {
            name: weight
            for name, weight in self.lines(request_class).items()
            if weight > 0 and name not in self.withdrawn and name in hosts and serves(hosts[name], request_class)
        }


class Relay:
    """The relay of one director, with its proxies and the channel to them."""

    def __init__(
        self, proxies: list[Proxy], discovery: Discovery, record: Record, seed: int = 1, *,
        lines_per_s: float = 3000.0, head: float = 6.0, transit_s: tuple[float, float] = (0.14, 0.48),
        newest_first: bool = False,
    ) -> None:
        self.proxies = {proxy.number: proxy for proxy in proxies}
        self.discovery = discovery
        self.record = record
        self.random = random.Random(seed)
        self.lines_per_s, self.head, self.transit_s = lines_per_s, head, transit_s
        self.newest_first = newest_first
        self.tables: dict[int, dict[str, float]] = {}
        self.levels: dict[tuple[int, str], float] = {}
        self.withdrawn: set[str] = set()
        self.bound: dict[int, dict[str, int]] = {}
        self.channel_free = 0.0
        self.messages: dict[int, list[float]] = {}
        self.most_messages = 0  # to one proxy within 10 s
        self.first_out: dict[str, float] = {}
        self.news: list[News] = []
        self.calls = 0
        self.opened = 0  # news connections so far
        self.calls_lost = False  # whether nothing comes to a call, which is then not carried out at all
        self.lost_calls = 0
        self.cut_answers_share = 0.0  # share of answers that end at some byte, with the connection
        self.lost_carried_share = 0.0  # of those calls, the share that is carried out all the same
        self.last_lost = 0.0
        self.on_news_opened: Callable[[News], None] = lambda news: None
        self._server: asyncio.Server | None = None
        self.address = ("127.0.0.1", 0)
        self.piece_delay_s = 0.0  # time between the head of a news answer and its first line

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = self._server.sockets[0].getsockname()[:2]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while True:
                try:
                    request = await asyncio.wait_for(read_request(reader), 10.0)
                except TimeoutError:
                    break
                if request is None:
                    break
                method, target, body = request
                if method == "GET" and target.endswith("/events"):
                    await self._stream_news(reader, writer)
                    return
                orders = json.loads(body)["orders"]
                if self.calls_lost:
                    self.last_lost = now()
                    self.lost_calls += 1
                    if self.lost_carried_share and self.random.random() < self.lost_carried_share:
                        self.carry_out(orders)
                    else:
                        self.record.line(f"relay: nothing comes to a call of {len(orders)} orders, which is not carried out")
                    await reader.read()
                    break
                accepted = self.carry_out(orders)
                answer = response(200, b'{"ok_count":%d}' % accepted)
                if self.random.random() < self.cut_answers_share:
                    writer.write(answer[: self.random.randrange(len(answer))])
                    self.record.line("relay: the answer to the call is cut off")
                    break
                writer.write(answer)
        except ConnectionError:
            pass
        finally:
            writer.close()

    # News

    async def _stream_news(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.opened += 1
        news = News(self.opened, writer)
        writer.write(CHUNKED_HEAD)
        if self.piece_delay_s:
            await asyncio.sleep(self.piece_delay_s)
        for proxy in self.proxies.values():
            if proxy.joined:
                news.send(self._joined_line(proxy))
        self.news.append(news)
        self.record.line(f"relay: news connection {news.number} opened")
        self.on_news_opened(news)
        try:
            while True:
                try:
                    await asyncio.wait_for(reader.read(1024), 1.0)
                    break  # one more byte, or the end
                except TimeoutError:
                    news.send(b"{}")
        except ConnectionError:
            pass
        finally:
            news.closed = True
            self.record.line(f"relay: news connection {news.number} ended")

    def _joined_line(self, proxy: Proxy) -> bytes:
        fields = {
            "sidecar": proxy.number, "az": proxy.zone, "share": proxy.rate, "standing": not proxy.has_ordered_table,
        }
        return json.dumps({"type": "joined", "object": fields}).encode()

    def tell(self, line: bytes) -> None:
        connections = [news for news in self.news if not news.closed]
        for news in reversed(connections) if self.newest_first else connections:
            news.send(line)

    def join(self, proxy: Proxy) -> None:
        proxy.joined, proxy.joined_at = True, now()
        proxy.life += 1
        self.bound.pop(proxy.number, None)
        self.record.line(f"proxy {proxy.number} ({proxy.zone}) joins, holds an ordered table: {proxy.has_ordered_table}")
        self.tell(self._joined_line(proxy))

    def leave(self, proxy: Proxy, *, dies: bool = False) -> None:
        """Breaks the stream of a proxy; one that dies has only a standing table afterwards."""
        proxy.joined = False
        proxy.life += 1
        self.bound.pop(proxy.number, None)
        self.record.line(f"proxy {proxy.number} ({proxy.zone}) leaves{', its process died' if dies else ''}")
        self.tell(json.dumps({"type": "left", "object": {"sidecar": proxy.number}}).encode())
        if dies:
            proxy.has_ordered_table = False
            proxy.bound.clear()
            proxy.tables.clear()
            proxy.withdrawn.clear()
            proxy.levels.clear()
            proxy.without_since.clear()

    def director_gone(self) -> None:
        """The director's process ended: its tables, levels and withdrawals are lost, and the streams to it break."""
        self.tables.clear()
        self.levels.clear()
        self.withdrawn.clear()
        self.bound.clear()
        for proxy in self.proxies.values():
            if proxy.joined:
                self.leave(proxy)

    # Orders

    def carry_out(self, orders: list[dict[str, Any]]) -> int:
        """Carries out the orders of a call up to the first that can't be used; returns how many were taken."""
        self.calls += 1
        parts: dict[int, list[tuple[Any, ...]]] = {}
        cost: dict[int, float] = {}
        stamp: int | None = None
        to_all = False
        taken = 0
        for order in orders:
            if not self._usable(order):
                self.record.line(f"relay: order not usable: {json.dumps(order)}")
                break
            taken += 1
            if order["verb"] == "SYNC":
                stamp, to_all = order["stamp"], bool(order["yes"])
            else:
                self._carry_out_one(order, parts, cost)
        verbs: dict[str, int] = {}
        for order in orders[:taken]:
            verbs[order["verb"]] = verbs.get(order["verb"], 0) + 1
        outs = [order["host"] for order in orders[:taken] if order["verb"] == "OUT"]
        self.record.line(f"relay: call {self.calls}: {verbs}{' OUT ' + ' '.join(outs) if outs else ''}")
        recipients = [
            number for number, proxy in self.proxies.items() if proxy.joined and (number in parts or (to_all and stamp is not None))
        ]
        for number in recipients:
            self._send(number, parts.get(number, []), cost.get(number, 0.0), stamp)
        return taken

    def _usable(self, order: dict[str, Any]) -> bool:
        if order["verb"] == "USE":
            proxy = self.proxies.get(order["sidecar"])
            return proxy is not None and proxy.joined
        if order["verb"] in ("SET", "OUT", "IN"):
            return order["host"] in self.discovery.hosts and order.get("share", 0) >= 0
        return True

    def _users(self, table: int) -> list[int]:
        return [number for number, bound in self.bound.items() if table in bound.values()]

    def _carry_out_one(
        self, order: dict[str, Any], parts: dict[int, list[tuple[Any, ...]]], cost: dict[int, float]
    ) -> None:
        def give(number: int, part: tuple[Any, ...], lines: float) -> None:
            parts.setdefault(number, []).append(part)
            cost[number] = cost.get(number, 0.0) + lines

        verb, table, host = order["verb"], order.get("cluster"), order.get("host", "")
        if verb == "SET":
            lines = self.tables.setdefault(table, {})
            if order["share"] > 0:
                lines[host] = order["share"]
            else:
                lines.pop(host, None)
            for number in self._users(table):
                give(number, ("set", table, host, order["share"]), 1)
        elif verb == "DEL":
            self.tables[table] = {}
            for number in self._users(table):
                give(number, ("del", table), 1)
        elif verb == "USE":
            number = order["sidecar"]
            classes = tuple(order.get("for") or CLASSES)
            self.bound.setdefault(number, {}).update(dict.fromkeys(classes, table))
            lines = dict(self.tables.get(table, {}))
            levels = sum(1 for key in self.levels if key[0] == table)
            withdrawn = len(self.withdrawn & lines.keys())
            give(number, ("use", table, classes, lines, set(self.withdrawn)), 1 + len(lines) + levels + withdrawn)
        elif verb in ("OUT", "IN"):
            (self.withdrawn.add if verb == "OUT" else self.withdrawn.discard)(host)
            if verb == "OUT":
                self.first_out.setdefault(host, now())
            for number, proxy in self.proxies.items():
                holds = any(host in self.tables.get(each, {}) for each in self.bound.get(number, {}).values())
                held = any(host in proxy.lines(each) for each in CLASSES)
                if proxy.joined and (holds or held):
                    give(number, (verb.lower(), host), 1)
                elif proxy.joined:
                    # It holds no such line, so it gets no message; what holds for a line that comes later has changed.
                    at = max(now(), proxy.next_arrival)
                    part = [(verb.lower(), host)]
                    asyncio.get_running_loop().call_at(at, self._arrive, proxy, proxy.life, part, None, 0.0)
        elif verb == "LIMIT":
            classes = tuple(order.get("for") or CLASSES)
            for each in classes:
                self.levels[table, each] = order["gate"]
            users = list(self.proxies) if table == "*" else self._users(table)
            for number in users:
                if self.proxies[number].joined:
                    give(number, ("limit", table, classes, order["gate"]), 1)

    def _send(self, number: int, parts: list[tuple[Any, ...]], lines: float, stamp: int | None) -> None:
        proxy = self.proxies[number]
        at = now()
        lines += self.head + (1 if stamp is not None else 0)
        self.channel_free = max(self.channel_free, at) + lines / self.lines_per_s
        arrival = max(self.channel_free + self.random.uniform(*self.transit_s), proxy.next_arrival)
        proxy.next_arrival = arrival + 0.001  # messages reach a proxy in order
        written = self.messages.setdefault(number, [])
        written.append(at)
        # The rule counts from when the proxy joined.
        self.most_messages = max(self.most_messages, sum(1 for each in written if each > max(at - 10, proxy.joined_at)))
        life = proxy.life
        # The loop's clock is the monotonic clock.
        asyncio.get_running_loop().call_at(arrival, self._arrive, proxy, life, parts, stamp, (arrival - at) * 1e3)

    def _arrive(self, proxy: Proxy, life: int, parts: list[tuple[Any, ...]], stamp: int | None, lag_ms: float) -> None:
        if proxy.life != life or not proxy.joined:
            return
        for part in parts:
            match part:
                case ("set", table, host, share):
                    lines = proxy.tables.setdefault(table, {})
                    if share > 0:
                        lines[host] = share
                    else:
                        lines.pop(host, None)
                case ("del", table):
                    proxy.tables[table] = {}
                case ("use", table, classes, lines, withdrawn):
                    proxy.tables[table] = dict(lines)
                    proxy.bound.update(dict.fromkeys(classes, table))
                    # A proxy that was bound observes the withdrawals of this instance alone.
                    proxy.withdrawn = set(withdrawn)
                    proxy.has_ordered_table = True
                case ("out", host):
                    proxy.withdrawn.add(host)
                case ("in", host):
                    proxy.withdrawn.discard(host)
                case ("limit", _, _, _):
                    pass
        if stamp is not None:
            fields = {"sidecar": proxy.number, "version": stamp, "lag_ms": round(lag_ms, 1)}
            self.tell(json.dumps({"type": "applied", "object": fields}).encode())


class News:
    """One connection that has asked for news."""

    def __init__(self, number: int, writer: asyncio.StreamWriter) -> None:
        self.number = number
        self.closed = False
        self.silent = False
        self._writer = writer

    def send(self, line: bytes) -> None:
        if not self.closed and not self.silent:
            self._writer.write(chunk(line))

    def reset(self) -> None:
        self.closed = True
        reset(self._writer)


class Traffic:
    """Requests at the proxies: each picks a server by weight from the proxy's table and is checked by the case."""

    def __init__(self, relay: Relay, hosts: dict[str, Host], seed: int, on_request: Callable[[Proxy, str, Host | None], None]) -> None:
        self.relay, self.hosts, self.random, self.on_request = relay, hosts, random.Random(seed), on_request
        self.arrived: dict[tuple[int, str], int] = {}
        self.unserved: dict[tuple[int, str], int] = {}
        self.attempts: dict[tuple[str, str], list[int]] = {}
        self.failing: set[str] = set()  # servers whose process has ended

    async def run(self) -> None:
        queue = [(now() + self.random.expovariate(proxy.rate), number) for number, proxy in self.relay.proxies.items()]
        heapq.heapify(queue)
        while True:
            due, number = queue[0]
            wait = due - now()
            if wait > 0:
                await asyncio.sleep(wait)
                continue
            proxy = self.relay.proxies[number]
            heapq.heapreplace(queue, (due + self.random.expovariate(proxy.rate), number))
            if proxy.joined:
                self._request(proxy)

    def _request(self, proxy: Proxy) -> None:
        request_class = SUBMIT if self.random.random() < CLASS_SHARE[SUBMIT] else READ
        key = (proxy.number, request_class)
        self.arrived[key] = self.arrived.get(key, 0) + 1
        choices = proxy.choices(request_class, self.hosts)
        if not choices:
            self.unserved[key] = self.unserved.get(key, 0) + 1
            self.on_request(proxy, request_class, None)
            return
        name = self.random.choices(list(choices), list(choices.values()))[0]
        host = self.hosts[name]
        host.requests += 1
        counts = self.attempts.setdefault((proxy.zone, name), [0, 0])
        counts[0] += 1
        if name in self.failing:
            counts[1] += 1
        self.on_request(proxy, request_class, host)


class Collectors:
    """One report collector a zone: every period it hands on the sums, some hundred milliseconds late."""

    def __init__(self, traffic: Traffic, listen: tuple[str, int], period_s: float = 2.0, late_s: float = 0.5) -> None:
        self.traffic, self.listen, self.period_s, self.late_s = traffic, listen, period_s, late_s

    async def run(self, zone: str) -> None:
        while True:
            try:
                reader, writer = await asyncio.open_connection(*self.listen)
            except OSError:
                await asyncio.sleep(0.2)
                continue
            writer.write(f"collector az={zone}\r\n".encode())
            try:
                while True:
                    await asyncio.sleep(self.period_s)
                    lines = self._lines(zone)
                    await asyncio.sleep(self.late_s)
                    writer.write("".join(lines).encode())
                    await writer.drain()
            except ConnectionError:
                writer.close()

    def _lines(self, zone: str) -> list[str]:
        traffic = self.traffic
        window = self.period_s * 1e3
        lines = []
        for (each, name), (count, bad) in list(traffic.attempts.items()):
            if each == zone:
                del traffic.attempts[each, name]
                average = "avg=105.0 " if count > bad else ""
                lines.append(f"heard az={zone} host={name} n={count} bad={bad} {average}window={window}\r\n")
        for (number, request_class), count in list(traffic.arrived.items()):
            if traffic.relay.proxies[number].zone == zone:
                del traffic.arrived[number, request_class]
                bad = traffic.unserved.pop((number, request_class), 0)
                lines.append(f"usage sidecar={number} kind={request_class} n={count} bad={bad} window={window}\r\n")
        return lines


class Director:
    """A controller process, started with the `run` command of the deploy file or with another command."""

    def __init__(self, folder: Path, record: Record, listen: tuple[str, int], command: str = "") -> None:
        self.record, self.listen = record, listen
        self.folder = folder
        with (ROOT / "deploy" / "balancer.toml").open("rb") as file:
            self.command = command or tomllib.load(file)["run"]
        self.config_path = folder / "config.json"
        self.process: subprocess.Popen[bytes] | None = None
        self.log_path = folder / "director.log"

    def write_config(self, discovery: tuple[str, int], relay: tuple[str, int], known: dict[str, Any], settings_: dict[str, Any]) -> None:
        self.config_path.write_text(json.dumps({
            "name": "n1",
            "listen": text(self.listen),
            "discovery": text(discovery),
            "seed": f"{random.getrandbits(64):016x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "registry": {"address": text(relay)},
            "known": known,
            "settings": settings_,
        }))

    def start(self) -> None:
        environment = {**os.environ, "NODE_CONFIG": str(self.config_path), "NODE_NAME": "n1", "NODE_LISTEN": text(self.listen), "TMPDIR": str(self.folder)}
        log = self.log_path.open("ab")
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", self.command], cwd=ROOT, env=environment, stdin=subprocess.DEVNULL, stdout=log, stderr=log
        )
        log.close()
        self.record.line(f"director started: {self.command}")

    def signal(self, number: int) -> None:
        assert self.process is not None
        self.record.line(f"director is sent {signal.Signals(number).name}")
        self.process.send_signal(number)

    def running(self) -> bool:
        return self.process is not None and self.process.poll() is None

    def kill(self) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
        if self.process is not None:
            self.process.wait()

    async def answers(self, timeout_s: float = 30.0) -> bool:
        """Waits until the director answers a ping."""
        end = now() + timeout_s
        while now() < end and self.running():
            try:
                reader, writer = await asyncio.open_connection(*self.listen)
                writer.write(b"ping\r\n")
                line = await asyncio.wait_for(reader.readline(), 2.0)
                writer.close()
                if line.strip() == b"pong":
                    self.record.line("director answers ping with pong")
                    return True
            except (OSError, TimeoutError):
                pass
            await asyncio.sleep(0.05)
        return False


def trouble() -> bool:
    return os.environ.get("TROUBLE", "1") != "0"


class Finished(Exception):
    """Raised where a case ends, with its exit code."""

    def __init__(self, code: int) -> None:
        super().__init__(code)
        self.code = code


def finish(code: int, record: Record, summary: str) -> NoReturn:
    """Writes the result and ends the case."""
    word = {HELD: "held", BROKEN: "BROKEN", NOT_RUN: "not run"}[code]
    record.line(f"result: rule {word}: {summary}")
    record.close()
    print(f"rule {word}: {summary}", flush=True)
    raise Finished(code)


def run_case(case: Coroutine[Any, Any, object], stop: Callable[[], None]) -> int:
    """Runs a case, ends every process that it started, and returns the exit code."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    try:
        asyncio.run(_quiet(case))
    except Finished as finished:
        return finished.code
    finally:
        stop()
    return NOT_RUN


def leave(code: int) -> NoReturn:
    """Exits at once: connections that were open at the end need no care."""
    sys.stdout.flush()
    os._exit(code)


async def _quiet(case: Coroutine[Any, Any, object]) -> object:
    # Connections that are cut off when the case ends are of no interest.
    asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
    return await case
