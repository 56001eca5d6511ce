"""The batch loop: one reply for each batch, any number of policies, nothing shared between them."""

from __future__ import annotations

import sys
import traceback
from collections.abc import Callable, Iterator
from typing import TextIO

from kelpcourse.facade import Policy
from kelpcourse.fields import FieldError, Fields, InputError
from kelpcourse.policy.controller import RoutingPolicy
from kelpcourse.policy.events import Endpoint, EndpointList, EndpointListKind, Event, Started
from kelpcourse.policy.settings import Settings
from kelpcourse.settings import read_settings
from kelpcourse.simhost.actions import write_action, write_failure
from kelpcourse.simhost.events import LIST_KINDS, READERS, read_endpoint

BATCH_BEGIN = "mark"
BATCH_END = "your_turn"
REPLY_END = "eor"
EXIT_BAD_INPUT = 2


class UnexpectedLineError(InputError):
    """A line that may not come where it does."""


class Instance:
    """One hosted policy and the events that it has yet to see in this batch."""

    def __init__(self, settings: Settings, seed: int, policy: Policy) -> None:
        """The first event is the start."""
        self.settings = settings
        self.policy = policy
        self.events: list[Event] = [Started(seed)]


class Lines:
    """Numbered input lines."""

    def __init__(self, source: TextIO) -> None:
        """Reads nothing yet."""
        self._source = source
        self.number = 0

    def next(self) -> str | None:
        """The next line, or None at the end of the input."""
        line = self._source.readline()
        if not line:
            return None
        self.number += 1
        return line.rstrip("\r\n")

    def within_batch(self) -> str:
        """The next line of a batch. Raises UnexpectedLineError if the input ends."""
        line = self.next()
        if line is None:
            raise UnexpectedLineError("input ends inside a batch")
        return line


class Adapter:
    """Hosts policies by the simulator's lines."""

    def __init__(self, source: TextIO, policy_factory: Callable[[Settings], Policy]) -> None:
        """Reads nothing yet."""
        self.lines = Lines(source)
        self._policy_factory = policy_factory
        self._instances: dict[int, Instance] = {}
        self._lists: dict[int, tuple[Endpoint, ...]] = {}

    def replies(self) -> Iterator[str]:
        """The reply to each batch. Raises InputError for a line that can't be understood."""
        while True:
            line = self.lines.next()
            if line is None:
                return
            name, *parts = line.split(" ")
            if name != BATCH_BEGIN:
                raise UnexpectedLineError(f"'{name}' where a batch should begin")
            now_us = Fields.parse(parts).integer("t_us")
            self._read_batch()
            yield self._reply(now_us)

    def _read_batch(self) -> None:
        while True:
            line = self.lines.within_batch()
            if line == BATCH_END:
                return
            name, *parts = line.split(" ")
            self._read_line(name, Fields.parse(parts))

    def _read_line(self, name: str, fields: Fields) -> None:
        if name == "sheet":
            self._read_list(fields)
        elif name == "open_instance":
            self._open(fields)
        elif name == "crash_now":
            self._instances.pop(fields.count("director_id"), None)
        elif name == "members":
            self._instance(fields).events.append(self._endpoint_list(fields))
        elif name in READERS:
            instance = self._instance(fields)
            instance.events.append(READERS[name](fields, instance.settings))
        else:
            raise UnexpectedLineError(f"unknown event '{name}'")

    def _read_list(self, fields: Fields) -> None:
        number = fields.count("roster_id")
        size = fields.count("members")
        endpoints = []
        for _ in range(size):
            name, *parts = self.lines.within_batch().split(" ")
            if name != "item":
                raise UnexpectedLineError(f"'{name}' where an entry of a list should be")
            endpoints.append(read_endpoint(Fields.parse(parts)))
        self._lists[number] = tuple(endpoints)

    def _open(self, fields: Fields) -> None:
        settings = read_settings(fields)
        self._instances[fields.count("director_id")] = Instance(
            settings, fields.integer("nonce64"), self._policy_factory(settings)
        )

    def _instance(self, fields: Fields) -> Instance:
        number = fields.count("director_id")
        if number not in self._instances:
            raise FieldError("director_id", f"names no running instance: '{number}'")
        return self._instances[number]

    def _endpoint_list(self, fields: Fields) -> EndpointList:
        kind = fields.choice("scope", LIST_KINDS)
        if kind is EndpointListKind.UNAVAILABLE:
            return EndpointList(kind, 0, ())
        number = fields.count("roster_id")
        if number not in self._lists:
            raise FieldError("roster_id", f"names no list: '{number}'")
        return EndpointList(kind, fields.integer("number"), self._lists[number])

    def _reply(self, now_us: int) -> str:
        lines: list[str] = []
        for number in sorted(self._instances):
            instance = self._instances[number]
            if instance.events:
                lines += self._step(number, instance, now_us)
        return "".join(f"{line}\n" for line in [*lines, REPLY_END])

    def _step(self, number: int, instance: Instance, now_us: int) -> list[str]:
        events = instance.events
        instance.events = []
        try:
            actions = instance.policy.step(now_us, events)
        except Exception as error:  # the run must end with the reason, whatever it is
            traceback.print_exc(file=sys.stderr)
            return [write_failure(number, f"{type(error).__name__}: {error}")]
        return [write_action(number, action) for action in actions]


def main() -> int:
    """Serves standard input and output until the input ends; returns the exit status."""
    adapter = Adapter(sys.stdin, RoutingPolicy)
    try:
        for reply in adapter.replies():
            sys.stdout.write(reply)
            sys.stdout.flush()
    except InputError as error:
        print(f"simhost: line {adapter.lines.number}: {error}", file=sys.stderr)
        return EXIT_BAD_INPUT
    except UnicodeDecodeError as error:
        print(f"simhost: line {adapter.lines.number + 1}: not UTF-8: {error}", file=sys.stderr)
        return EXIT_BAD_INPUT
    return 0
