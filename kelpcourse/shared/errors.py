"""Errors of shared controllers. All of them are a `SharedError`."""

from __future__ import annotations


class SharedError(Exception):
    """Base of the errors of this package."""


class RequestRejectedError(SharedError):
    """A request that this member can't carry out now; the message says why."""


class NotLeaderError(RequestRejectedError):
    """A request that only the leader can carry out came to another member."""

    def __init__(self, message: str, leader: str | None = None) -> None:
        """Names the leader, if it is known."""
        super().__init__(message)
        self.leader = leader


class TransferInProgressError(RequestRejectedError):
    """The leader accepts nothing while it transfers its leadership."""

    def __init__(self, target: str) -> None:
        """Names the member that is to lead."""
        super().__init__(f"leadership is going to {target}")
        self.target = target


class InvalidTransferError(RequestRejectedError):
    """Leadership can be transferred to another voter only."""

    def __init__(self, target: str) -> None:
        """Names the member that was asked for."""
        super().__init__(f"{target} is not another voter")
        self.target = target


class BacklogFullError(RequestRejectedError):
    """Too many log entries are proposed and not committed."""

    def __init__(self, max_entries: int) -> None:
        """Says how many entries may wait."""
        super().__init__(f"{max_entries} entries wait already")
        self.max_entries = max_entries


class MembershipChangeError(RequestRejectedError):
    """A change of members that would be unsafe or that names no member."""


class LogConflictError(SharedError):
    """An `AppendEntries` request would replace a committed entry: some member broke the protocol."""

    def __init__(self, index: int, commit_index: int) -> None:
        """Says which entry, and up to where the log is committed."""
        super().__init__(f"entry {index} would be replaced, and {commit_index} is committed")
        self.index = index
        self.commit_index = commit_index


class LogIndexError(SharedError):
    """The log does not hold the entry at an index, or does not hold it any more."""

    def __init__(self, index: int, first_index: int, last_index: int) -> None:
        """Says which entry, and which ones there are."""
        super().__init__(f"no entry {index}: the log holds {first_index} to {last_index}")
        self.index = index


class StateLostError(SharedError):
    """The disk does not hold what this member has promised: it has to join again with an empty folder."""


class PeerMessageError(SharedError):
    """Bytes on a connection between controllers that are no valid message."""


class CertificateError(SharedError):
    """A certificate or key that can't be used."""
