"""Commands that a member submitted and whose effect is not replicated yet."""

from __future__ import annotations

from kelpcourse.shared.commands import Command, command_key, encode_command
from kelpcourse.shared.replicated_state import ReplicatedState


class PendingCommands:
    """Commands to be sent to the leader again and again, one for each `command_key`."""

    def __init__(
        self, max_commands: int, max_batch: int, retry_interval_us: int, now_us: int
    ) -> None:
        """Starts without a command.

        Args:
            max_commands: Beyond it the oldest is dropped.
            max_batch: How many are sent at a time.
            retry_interval_us: Between two batches.
            now_us: The first batch may be sent from now on.
        """
        self._max_commands = max_commands
        self._max_batch = max_batch
        self._retry_interval_us = retry_interval_us
        self._next_batch_us = now_us
        self._commands: dict[tuple[object, ...], Command] = {}

    def add(self, command: Command, now_us: int) -> None:
        """Adds a command, to be sent immediately; it replaces one with the same key."""
        key = command_key(command)
        self._commands.pop(key, None)
        self._commands[key] = command
        while len(self._commands) > self._max_commands:
            del self._commands[next(iter(self._commands))]
        self._next_batch_us = min(self._next_batch_us, now_us)

    def discard_settled(self, state: ReplicatedState) -> None:
        """Drops commands whose effect the state holds."""
        self._commands = {
            key: command for key, command in self._commands.items() if not state.is_settled(command)
        }

    def next_batch(self, now_us: int) -> tuple[bytes, ...]:
        """Returns what to send now, in the stored form; empty: nothing is pending, or it is not time."""
        if now_us < self._next_batch_us or not self._commands:
            return ()
        self._next_batch_us = now_us + self._retry_interval_us
        batch = list(self._commands.values())[: self._max_batch]
        return tuple(map(encode_command, batch))
