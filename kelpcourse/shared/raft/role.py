"""Roles of a Raft member."""

from __future__ import annotations

from enum import Enum


class Role(Enum):
    """What a member currently is. The values are shown by `kelpcourse shared status`."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "asker"  # asks whether an election could succeed (thesis 9.6)
    CANDIDATE = "candidate"
    LEADER = "leader"
