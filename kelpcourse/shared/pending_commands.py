"""Commands that a member submitted and whose effect is not yet replicated."""

from __future__ import annotations

from kelpcourse.shared.commands import Command, command_key, encode_command
from kelpcourse.shared.replicated_state import ReplicatedState


class PendingCommands:
    """Commands to resend to the leader until they take effect, at most one for each `command_key`."""

    def __init__(
        self, max_commands: int, max_batch: int, retry_interval_us: int, now_us: int
    ) -> None:
        """Initializes the collection without commands.

        Args:
            max_commands: Maximum number of commands, beyond which the oldest is dropped.
            max_batch: Maximum number of commands in one batch.
            retry_interval_us: Interval between two batches, in microseconds.
            now_us: Current time, from which on the first batch may be sent, in microseconds.
        """
        self._max_commands = max_commands
        self._max_batch = max_batch
        self._retry_interval_us = retry_interval_us
        self._next_batch_us = now_us
        self._commands: dict[tuple[object, ...], Command] = {}

    def add(self, command: Command, now_us: int) -> None:
        """Adds a command, due immediately; it replaces a command with the same key."""
        key = command_key(command)
        self._commands.pop(key, None)
        self._commands[key] = command
        while len(self._commands) > self._max_commands:
            del self._commands[next(iter(self._commands))]
        self._next_batch_us = min(self._next_batch_us, now_us)

    def discard_settled(self, state: ReplicatedState) -> None:
        """Drops commands whose effect the state already holds or has superseded."""
        self._commands = {
            key: command for key, command in self._commands.items() if not state.is_settled(command)
        }

    def next_batch(self, now_us: int) -> tuple[bytes, ...]:
        """Returns the encoded commands to send now; empty if none is pending or no batch is due."""
        if now_us < self._next_batch_us or not self._commands:
            return ()
        self._next_batch_us = now_us + self._retry_interval_us
        batch = list(self._commands.values())[: self._max_batch]
        return tuple(map(encode_command, batch))
