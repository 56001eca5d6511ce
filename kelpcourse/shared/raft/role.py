"""The roles of a Raft member."""

from __future__ import annotations

from enum import Enum


class Role(Enum):
    """The current role of a member. `kelpcourse shared status` shows the values."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "asker"  # Checks by a pre-vote whether an election could succeed (thesis 9.6).
    CANDIDATE = "candidate"
    LEADER = "leader"
