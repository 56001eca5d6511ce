"""The batch loop of the simulator's protocol.

The adapter hosts any number of independent policy instances and writes one reply for each batch.
"""

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
from kelpcourse.simhost.events import EVENT_DECODERS, LIST_KINDS, read_endpoint

BATCH_BEGIN = "mark"
BATCH_END = "your_turn"
REPLY_END = "eor"
EXIT_BAD_INPUT = 2


class UnexpectedLineError(InputError):
    """Raised for a line that is unknown or not allowed at its position."""


class Instance:
    """A hosted policy and its events of the current batch that have not been passed to it yet."""

    def __init__(self, settings: Settings, seed: int, policy: Policy) -> None:
        """Initializes the instance with `Started` as its first event."""
        self.settings = settings
        self.policy = policy
        self.events: list[Event] = [Started(seed)]


class LineReader:
    """Reads input lines and counts them.

    Attributes:
        number: Number of the line that was read last, from 1; 0 before the first.
    """

    def __init__(self, source: TextIO) -> None:
        """Initializes the reader without reading from the source."""
        self._source = source
        self.number = 0

    def next_line(self) -> str | None:
        """Returns the next line without its line break, or None at the end of the input."""
        line = self._source.readline()
        if not line:
            return None
        self.number += 1
        return line.rstrip("\r\n")

    def next_batch_line(self) -> str:
        """Returns the next line inside a batch.

        Raises:
            UnexpectedLineError: The input ends.
        """
        line = self.next_line()
        if line is None:
            raise UnexpectedLineError("input ends inside a batch")
        return line


class Adapter:
    """Hosts policies on the simulator's line protocol."""

    def __init__(self, source: TextIO, policy_factory: Callable[[Settings], Policy]) -> None:
        """Initializes the adapter without reading from the source.

        Args:
            source: Input lines of the simulator.
            policy_factory: Creates the policy of a new instance from its settings.
        """
        self.lines = LineReader(source)
        self._policy_factory = policy_factory
        self._instances: dict[int, Instance] = {}
        self._lists: dict[int, tuple[Endpoint, ...]] = {}

    def replies(self) -> Iterator[str]:
        """Yields the reply to each batch.

        Raises:
            InputError: A line is malformed or not allowed at its position.
        """
        while True:
            line = self.lines.next_line()
            if line is None:
                return
            name, *parts = line.split(" ")
            if name != BATCH_BEGIN:
                raise UnexpectedLineError(f"'{name}' instead of the start of a batch")
            now_us = Fields.parse(parts).integer("t_us")
            self._read_batch()
            yield self._reply(now_us)

    def _read_batch(self) -> None:
        while True:
            line = self.lines.next_batch_line()
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
        elif name in EVENT_DECODERS:
            instance = self._instance(fields)
            instance.events.append(EVENT_DECODERS[name](fields, instance.settings))
        else:
            raise UnexpectedLineError(f"unknown event '{name}'")

    def _read_list(self, fields: Fields) -> None:
        number = fields.count("roster_id")
        size = fields.count("members")
        endpoints = []
        for _ in range(size):
            name, *parts = self.lines.next_batch_line().split(" ")
            if name != "item":
                raise UnexpectedLineError(f"'{name}' instead of a list entry")
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
            raise FieldError("director_id", f"is not a running instance: '{number}'")
        return self._instances[number]

    def _endpoint_list(self, fields: Fields) -> EndpointList:
        kind = fields.choice("scope", LIST_KINDS)
        if kind is EndpointListKind.UNAVAILABLE:
            return EndpointList(kind, 0, ())
        number = fields.count("roster_id")
        if number not in self._lists:
            raise FieldError("roster_id", f"is not a known list: '{number}'")
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
        except Exception as error:  # Any exception must end the simulation with its reason.
            traceback.print_exc(file=sys.stderr)
            return [write_failure(number, f"{type(error).__name__}: {error}")]
        return [write_action(number, action) for action in actions]


def main() -> int:
    """Runs the adapter on standard input and output until the input ends; returns the exit code."""
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
