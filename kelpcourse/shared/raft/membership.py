"""Safety checks of membership changes: one voter at a time (thesis 4.1), after it has caught up (thesis 4.2.1)."""

from __future__ import annotations

from collections.abc import Mapping

from kelpcourse.shared.errors import MembershipChangeError
from kelpcourse.shared.raft.messages import Configuration, MemberId
from kelpcourse.shared.raft.progress import Progress


def check_voter_change(current: Configuration, proposed: Configuration) -> None:
    """Checks that any majorities of both configurations overlap. Raises MembershipChangeError."""
    if len(current.voters ^ proposed.voters) > 1:
        raise MembershipChangeError("only one voter can be added or removed at a time")
    if not proposed.voters:
        raise MembershipChangeError("the last voter can't be removed")


def check_new_voters_caught_up(
    current: Configuration,
    proposed: Configuration,
    progress: Mapping[MemberId, Progress],
    commit_index: int,
    max_lag_entries: int,
) -> None:
    """Checks that new voters are learners whose logs have nearly caught up. Raises MembershipChangeError."""
    for member in proposed.voters - current.voters:
        member_progress = progress.get(member)
        if member_progress is None or member not in current.learners:
            raise MembershipChangeError(f"{member} must be a learner first")
        if member_progress.match_index < commit_index - max_lag_entries:
            raise MembershipChangeError(
                f"{member} has not caught up: at entry {member_progress.match_index} of {commit_index}"
            )
