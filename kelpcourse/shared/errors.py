"""Errors of shared controllers, all derived from `SharedError`."""

from __future__ import annotations


class SharedError(Exception):
    """Base class of the errors of this package."""


class RequestRejectedError(SharedError):
    """Raised for a request that this member can't carry out at present; the message contains the reason."""


class NotLeaderError(RequestRejectedError):
    """Raised when a member that is not the leader receives a request that only the leader can carry out."""

    def __init__(self, message: str, leader: str | None = None) -> None:
        """Initializes the error with the name of the leader, if it is known."""
        super().__init__(message)
        self.leader = leader


class TransferInProgressError(RequestRejectedError):
    """Raised when the leader receives a request while it transfers its leadership."""

    def __init__(self, target: str) -> None:
        """Initializes the error with the member that becomes the leader."""
        super().__init__(f"leadership is being transferred to {target}")
        self.target = target


class InvalidTransferError(RequestRejectedError):
    """Raised when leadership is to be transferred to a member that is no voter, or to the leader itself."""

    def __init__(self, target: str) -> None:
        """Initializes the error with the requested member."""
        super().__init__(f"{target} is not a voter or is already the leader")
        self.target = target


class BacklogFullError(RequestRejectedError):
    """Raised when too many proposed log entries are not committed yet."""

    def __init__(self, max_entries: int) -> None:
        """Initializes the error with the maximum number of uncommitted entries."""
        super().__init__(f"{max_entries} entries are already uncommitted")
        self.max_entries = max_entries


class MembershipChangeError(RequestRejectedError):
    """Raised for a change of members that would be unsafe or that names an unknown member."""


class LogConflictError(SharedError):
    """Raised when an `AppendEntries` request would replace a committed entry: a member has violated the protocol."""

    def __init__(self, index: int, commit_index: int) -> None:
        """Initializes the error with the index of the entry and the commit index."""
        super().__init__(
            f"entry {index} would be replaced, but entries up to {commit_index} are committed"
        )
        self.index = index
        self.commit_index = commit_index


class LogIndexError(SharedError):
    """Raised for an index at which the log contains no entry, or no committed entry that can be compacted."""

    def __init__(self, index: int, first_index: int, last_index: int) -> None:
        """Initializes the error with the requested index and the range of the log."""
        super().__init__(f"no entry {index}: the log contains {first_index} to {last_index}")
        self.index = index


class StateLostError(SharedError):
    """Raised when the disk lacks state that this member has acknowledged.

    The member has to join the cluster again, with an empty folder.
    """


class PeerMessageError(SharedError):
    """Raised for invalid messages on a connection between controllers."""


class CertificateError(SharedError):
    """Raised for a certificate or key that can't be used or created."""
