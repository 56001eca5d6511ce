"""The batch loop: one reply for each batch, any number of instances, nothing shared."""

from __future__ import annotations

import sys
import traceback
from collections.abc import Callable, Iterator, Sequence
from typing import Protocol, TextIO

from kelpcourse.fields import Fields, WireError
from kelpcourse.policy.actions import Action
from kelpcourse.policy.controller import RoutingPolicy
from kelpcourse.policy.events import Endpoint, EndpointList, EndpointListKind, Event, Started
from kelpcourse.policy.settings import Settings
from kelpcourse.settings import read_settings
from kelpcourse.simhost.actions import write_action, write_failure
from kelpcourse.simhost.events import LIST_KINDS, READERS, read_host


class Decider(Protocol):
    def step(self, now_us: int, events: Sequence[Event]) -> list[Action]: ...


class Instance:
    """One hosted module and the events it has yet to see in this batch."""

    def __init__(self, settings: Settings, seed: int, module: Decider) -> None:
        self.settings = settings
        self.module = module
        self.events: list[Event] = [Started(seed)]


class Lines:
    """Numbered input lines."""

    def __init__(self, source: TextIO) -> None:
        self._source = source
        self.number = 0

    def next(self) -> str | None:
        line = self._source.readline()
        if not line:
            return None
        self.number += 1
        return line.rstrip("\r\n")

    def within_batch(self) -> str:
        line = self.next()
        if line is None:
            raise WireError("input ends inside a batch")
        return line


class Adapter:
    def __init__(self, source: TextIO, make: Callable[[Settings], Decider]) -> None:
        self.lines = Lines(source)
        self._make = make
        self._instances: dict[int, Instance] = {}
        self._lists: dict[int, tuple[Endpoint, ...]] = {}

    def replies(self) -> Iterator[str]:
        while (line := self.lines.next()) is not None:
            name, *parts = line.split(" ")
            if name != "mark":
                raise WireError(f"'{name}' where a batch should begin")
            now_us = Fields.parse(parts).integer("t_us")
            self._read_batch()
            yield self._answer(now_us)

    def _read_batch(self) -> None:
        while (line := self.lines.within_batch()) != "your_turn":
            name, *parts = line.split(" ")
            fields = Fields.parse(parts)
            if name == "sheet":
                self._read_list(fields)
            elif name == "open_instance":
                self._open(fields)
            elif name == "crash_now":
                self._instances.pop(fields.count("director_id"), None)
            elif name == "members":
                self._instance(fields).events.append(self._members(fields))
            elif name in READERS:
                instance = self._instance(fields)
                instance.events.append(READERS[name](fields, instance.settings))
            else:
                raise WireError(f"unknown event '{name}'")

    def _read_list(self, fields: Fields) -> None:
        number, size = fields.count("roster_id"), fields.count("members")
        hosts = []
        for _ in range(size):
            name, *parts = self.lines.within_batch().split(" ")
            if name != "item":
                raise WireError(f"'{name}' where an entry of a list should be")
            hosts.append(read_host(Fields.parse(parts)))
        self._lists[number] = tuple(hosts)

    def _open(self, fields: Fields) -> None:
        settings = read_settings(fields)
        self._instances[fields.count("director_id")] = Instance(
            settings, fields.integer("nonce64"), self._make(settings)
        )

    def _instance(self, fields: Fields) -> Instance:
        number = fields.count("director_id")
        if number not in self._instances:
            raise WireError(f"field 'director_id' names no running instance: '{number}'")
        return self._instances[number]

    def _members(self, fields: Fields) -> EndpointList:
        kind = fields.choice("scope", LIST_KINDS)
        if kind is EndpointListKind.UNAVAILABLE:
            return EndpointList(kind, 0, ())
        number = fields.count("roster_id")
        if number not in self._lists:
            raise WireError(f"field 'roster_id' names no list: '{number}'")
        return EndpointList(kind, fields.integer("number"), self._lists[number])

    def _answer(self, now_us: int) -> str:
        out = []
        for number in sorted(self._instances):
            instance = self._instances[number]
            if not instance.events:
                continue
            events, instance.events = instance.events, []
            try:
                actions = instance.module.step(now_us, events)
            except Exception as error:  # the day must end with the reason, whatever it is
                traceback.print_exc(file=sys.stderr)
                out.append(write_failure(number, f"{type(error).__name__}: {error}"))
                continue
            out.extend(write_action(number, action) for action in actions)
        return "".join(line + "\n" for line in out) + "eor\n"


def main() -> int:
    adapter = Adapter(sys.stdin, RoutingPolicy)
    try:
        for reply in adapter.replies():
            sys.stdout.write(reply)
            sys.stdout.flush()
    except WireError as error:
        print(f"simhost: line {adapter.lines.number}: {error}", file=sys.stderr)
        return 2
    except UnicodeDecodeError as error:
        print(f"simhost: line {adapter.lines.number + 1}: not UTF-8: {error}", file=sys.stderr)
        return 2
    return 0
