"""Elections: pre-vote, votes and candidates (paper 5.2 and 5.4.1, thesis 9.6)."""

from __future__ import annotations

from kelpcourse.shared.raft.base import RaftBase
from kelpcourse.shared.raft.messages import MemberId, RequestVote, RequestVoteReply
from kelpcourse.shared.raft.role import Role


class ElectionRole(RaftBase):
    """The election rules of a pre-candidate, candidate or voter."""

    def _has_current_leader(self, now_us: int) -> bool:
        """Returns whether a leader was in contact within the minimum election timeout (thesis 4.2.3).

        Such a member grants no vote. Together with check-quorum, this guarantees that for a bounded time after a
        majority replied to a leader no other leader is elected. Leases of proxy groups rely on this guarantee.
        """
        if self.role is Role.LEADER:
            return self._has_quorum_contact(now_us)
        since_contact_us = now_us - self._last_leader_contact_us
        return since_contact_us < self._options.min_election_timeout_us

    def _start_election(self, now_us: int, pre_vote: bool, is_transfer: bool = False) -> None:
        self._reset_election_timer(now_us)
        if self.member_id not in self.config.voters:
            return
        self._votes_granted = set()
        self.leader_id = None
        if pre_vote:
            self._start_pre_vote(now_us)
        else:
            self._start_vote(is_transfer)

    def _start_pre_vote(self, now_us: int) -> None:
        self.role = Role.PRE_CANDIDATE
        self._count_vote(now_us, self.member_id)
        # In a single-voter cluster the pre-vote is already won, and this sends no request.
        self._request_votes(0, self.term + 1, pre_vote=True, is_transfer=False)

    def _start_vote(self, is_transfer: bool) -> None:
        self.role = Role.CANDIDATE
        self.term += 1
        self.voted_for = self.member_id
        self._vote_write_number = self._write()
        self._request_votes(
            self._vote_write_number, self.term, pre_vote=False, is_transfer=is_transfer
        )

    def _request_votes(
        self, write_number: int, term: int, pre_vote: bool, is_transfer: bool
    ) -> None:
        request = RequestVote(term, self.log.last_index, self.log.last_term, pre_vote, is_transfer)
        for member in sorted(self.config.voters - {self.member_id}):
            self._send_after(write_number, member, request)

    def _on_request_vote(self, now_us: int, sender: MemberId, request: RequestVote) -> None:
        requested = (request.last_log_term, request.last_log_index)
        is_up_to_date = requested >= (self.log.last_term, self.log.last_index)
        if request.pre_vote:
            reply_term = request.term if is_up_to_date else self.term
            granted = is_up_to_date and request.term > self.term
            self._send(sender, RequestVoteReply(reply_term, True, granted))
            return
        granted = (
            request.term == self.term
            and is_up_to_date
            and self.voted_for in (None, sender)
            and self.role is Role.FOLLOWER
        )
        write_number = self._last_write_number
        if granted and self.voted_for is None:
            self.voted_for = sender
            write_number = self._write()
        if granted:
            self._reset_election_timer(now_us)
        self._send_after(write_number, sender, RequestVoteReply(self.term, False, granted))

    def _on_request_vote_reply(
        self, now_us: int, sender: MemberId, reply: RequestVoteReply
    ) -> None:
        if reply.granted and self._belongs_to_current_election(reply):
            self._count_vote(now_us, sender)
        elif reply.pre_vote and not reply.granted and reply.term > self.term:
            self._become_follower(now_us, reply.term, None)

    def _belongs_to_current_election(self, reply: RequestVoteReply) -> bool:
        """Returns whether a reply belongs to the current election."""
        if reply.pre_vote:
            return self.role is Role.PRE_CANDIDATE and reply.term == self.term + 1
        return self.role is Role.CANDIDATE and reply.term == self.term

    def _count_vote(self, now_us: int, member: MemberId) -> None:
        self._votes_granted.add(member)
        if not self.config.has_quorum(self._votes_granted):
            return
        if self.role is Role.PRE_CANDIDATE:
            self._start_election(now_us, pre_vote=False)
        elif self.role is Role.CANDIDATE and self._vote_write_number <= self._durable_write_number:
            self._become_leader(now_us)
