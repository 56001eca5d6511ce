"""Agreement among controllers: Raft as published, as a step function. Pure.

In go the time, messages, and the numbers of writes that are durable; out come messages, writes and committed entries.
Whatever promises something leaves only when what it promises is on disk: each message waits for the write that it rests
on. Kept of Raft: elections with pre-vote, check-quorum, log matching, commitment in the own term alone, snapshots in
pieces, one member changed at a time with learners that catch up, handing over. Left out: joint consensus, reads by
index (what needs agreement goes through the log).

A follower that heard of a leader within the least time-out grants no vote (thesis, 4.2.3). With check-quorum this makes
a leader's word good for a bounded time after a majority answered, on which leases of groups rest.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum

from kelpcourse.shared.log import Log
from kelpcourse.shared.messages import (
    Append,
    AppendReply,
    Config,
    ElectNow,
    Entry,
    Kind,
    Member,
    Message,
    Piece,
    PieceReply,
    Snapshot,
    Stored,
    Vote,
    VoteReply,
    Write,
)


class Role(Enum):
    FOLLOWER = "follower"
    ASKER = "asker"  # asks whether an election is worth while
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(frozen=True)
class Timing:
    """Microseconds, and how much goes into one message."""

    beat_us: int = 100_000
    election_us: int = 600_000  # at least; up to twice that, drawn anew each time
    entries: int = 64
    piece_bytes: int = 64 << 10
    waiting: int = 4_096  # entries proposed and not committed


@dataclass
class Peer:
    """What a leader knows of another member."""

    next_index: int
    match: int = 0
    matched_us: int = 0  # when the question was sent whose answer moved `match`
    heard_us: int = 0  # when the question that it last answered was sent
    offset: int = 0  # of the snapshot's next piece
    asked_us: int = 0  # when a piece or probe was last sent: the next follows its answer
    probing: bool = True  # where its log and ours part is not known yet
    regressed: bool = False  # it lost what it had promised to hold


@dataclass
class Output:
    messages: list[tuple[Member, Message]] = field(default_factory=list)
    writes: list[Write] = field(default_factory=list)
    committed: list[Entry] = field(default_factory=list)
    installed: Snapshot | None = None  # the state machine starts over from this one


class Refused(Exception):
    """A change that can't be made now; the text says why."""


class Raft:
    def __init__(self, me: Member, stored: Stored, timing: Timing, seed: int, now_us: int) -> None:
        self.me = me
        self.term = stored.term
        self.vote = stored.vote
        self.log = Log(stored.snapshot, stored.entries)
        self.commit = stored.snapshot.index
        self.role = Role.FOLLOWER
        self.leader: Member | None = None
        self.peers: dict[Member, Peer] = {}
        self._timing = timing
        self._random = random.Random(seed)
        self._out = Output()
        self._writes = 0
        self._durable = 0  # writes
        self._held: list[
            tuple[int, Member, Message]
        ] = []  # messages and the write that each waits for
        self._ours: list[
            tuple[int, int]
        ] = []  # writes and up to where our log is durable with them
        self._durable_index = self.log.last_index
        self._granted: set[Member] = set()
        self._vote_write = 0
        self._heard_us = now_us  # of a leader; before a restart it may have heard of one until now
        self._beat_us = now_us
        self._led_us = now_us  # since when we lead
        self._pieces = bytearray()
        self._piece_of: tuple[int, int] | None = None
        self._handing: Member | None = None
        self._handed = False  # whom we told to elect itself may lead at any time
        self._elect_us = 0
        self._draw(now_us)

    # In

    def tick(self, now_us: int) -> None:
        if self.role is Role.LEADER:
            if not self._quorum_heard(now_us):
                self._follow(
                    now_us, self.term, None
                )  # check-quorum: whoever is cut off stops leading
            elif now_us >= self._beat_us:
                self._beat(now_us)
        elif now_us >= self._elect_us:
            self._begin(now_us, pre=True)

    def due_us(self) -> int:
        return self._beat_us if self.role is Role.LEADER else self._elect_us

    def receive(self, now_us: int, sender: Member, message: Message) -> None:
        if isinstance(message, Vote) and self._loyal(now_us) and not message.forced:
            return  # a leader is there: whoever can't hear it must not unseat it, nor move our term
        if message.term > self.term and not (isinstance(message, Vote | VoteReply) and message.pre):
            leads = isinstance(message, Append | Piece)
            self._follow(now_us, message.term, sender if leads else None)
        match message:
            case Vote():
                self._on_vote(now_us, sender, message)
            case VoteReply():
                self._on_vote_reply(now_us, sender, message)
            case Append():
                self._on_append(now_us, sender, message)
            case AppendReply() if self._counts(sender, message.term):
                self._on_append_reply(now_us, sender, message)
            case Piece():
                self._on_piece(now_us, sender, message)
            case PieceReply() if self._counts(sender, message.term):
                self._on_piece_reply(now_us, sender, message)
            case ElectNow() if message.term == self.term and self.me in self.config.voters:
                self._begin(now_us, pre=False, forced=True)

    def written(self, now_us: int, number: int) -> None:
        """All writes up to this number are durable."""
        self._durable = max(self._durable, number)
        while self._ours and self._ours[0][0] <= self._durable:
            self._durable_index = self._ours.pop(0)[1]
        held, self._held = self._held, []
        for rests_on, to, message in held:
            self._send_after(rests_on, to, message)
        if self.role is Role.CANDIDATE and self._vote_write <= self._durable:
            self._count_vote(now_us, self.me)
        if self.role is Role.LEADER:
            self._advance(now_us)

    def propose(self, now_us: int, data: bytes) -> tuple[int, int]:
        """Index and term of a new entry: committed if an entry of both is, lost if another takes its index.
        Raises Refused."""
        self._check_leads()
        if self.log.last_index - self.commit >= self._timing.waiting:
            raise Refused(f"{self._timing.waiting} entries wait already")
        self._append_own(now_us, Kind.DATA, data, None)
        return self.log.last_index, self.term

    def change(self, now_us: int, config: Config) -> tuple[int, int]:
        """One voter more or less, or any learners. Raises Refused with the reason."""
        self._check_leads()
        at, held = self.log.config()
        if at > self.commit:
            raise Refused("another change is under way")
        if self.log.term_at(self.commit) != self.term:
            raise Refused(
                "nothing of this term is committed yet"
            )  # else two majorities could do without each other
        if len(held.voters ^ config.voters) > 1:
            raise Refused("voters change one at a time")
        if not config.voters:
            raise Refused("the last voter can't go")
        for member in config.voters - held.voters:
            peer = self.peers.get(member)
            if peer is None or member not in held.learners:
                raise Refused(f"{member} is to be a learner first")
            if peer.match < self.commit - self._timing.entries:
                raise Refused(f"{member} has not caught up: {peer.match} of {self.commit}")
        self._append_own(now_us, Kind.CONFIG, b"", config)
        return self.log.last_index, self.term

    def hand_over(self, now_us: int, to: Member) -> None:
        """Leadership goes to another member as soon as that has everything. Raises Refused."""
        self._check_leads()
        if to not in self.config.voters or to == self.me:
            raise Refused(f"{to} is not another voter")
        self._handing = to
        self._hand_if_ready(now_us)

    def compact(self, index: int, data: bytes) -> None:
        """The state machine's state after the entry at `index`, which is committed."""
        assert self.log.snapshot.index <= index <= self.commit
        term = self.log.term_at(index)
        assert term is not None
        snapshot = Snapshot(index, term, self.log.config_at(index), data)
        self.log.compact(snapshot)
        self._write(snapshot=snapshot)

    def take(self) -> Output:
        """What is to be done since the last take: writes first, then messages."""
        out, self._out = self._out, Output()
        return out

    @property
    def config(self) -> Config:
        return self.log.config()[1]

    def led_until_us(self) -> int:
        """Until when no other member can have been elected, as far as a majority's answers tell: on a clock that
        runs like theirs. 0: not led from here."""
        if self.role is not Role.LEADER or self._handed:
            return 0
        heard = sorted((self._asked(member) for member in self.config.voters), reverse=True)
        return heard[len(heard) // 2] + self._timing.election_us

    def _asked(self, member: Member) -> int:
        if member == self.me:
            return 1 << 62
        peer = self.peers.get(member)
        return peer.heard_us if peer is not None and not peer.regressed else 0

    # Elections

    def _draw(self, now_us: int) -> None:
        self._elect_us = (
            now_us + self._timing.election_us + self._random.randrange(self._timing.election_us)
        )

    def _loyal(self, now_us: int) -> bool:
        if self.role is Role.LEADER:
            return self._quorum_heard(now_us)
        return now_us - self._heard_us < self._timing.election_us

    def _follow(self, now_us: int, term: int, leader: Member | None) -> None:
        if term > self.term:
            self.term, self.vote = term, None
            self._write()
        self.role, self.leader = Role.FOLLOWER, leader
        self.peers.clear()
        self._granted.clear()
        self._handing = None
        self._draw(now_us)

    def _begin(self, now_us: int, pre: bool, forced: bool = False) -> None:
        self._draw(now_us)
        if self.me not in self.config.voters:
            return
        self._granted = set()
        self.leader = None
        if pre:
            self.role = Role.ASKER
            self._count_vote(now_us, self.me)
        else:
            self.role = Role.CANDIDATE
            self.term, self.vote = self.term + 1, self.me
            self._vote_write = self._write()
        ask = Vote(self.term + pre, self.log.last_index, self.log.last_term, pre, forced)
        if self.role in (Role.ASKER, Role.CANDIDATE):
            for member in sorted(self.config.voters - {self.me}):
                self._send_after(0 if pre else self._vote_write, member, ask)

    def _on_vote(self, now_us: int, sender: Member, ask: Vote) -> None:
        newer = (ask.last_term, ask.last_index) >= (self.log.last_term, self.log.last_index)
        if ask.pre:
            self._send(
                sender,
                VoteReply(ask.term if newer else self.term, True, newer and ask.term > self.term),
            )
            return
        granted = (
            ask.term == self.term
            and newer
            and self.vote in (None, sender)
            and self.role is Role.FOLLOWER
        )
        rests_on = self._writes
        if granted and self.vote is None:
            self.vote = sender
            rests_on = self._write()
        if granted:
            self._draw(now_us)
        self._send_after(rests_on, sender, VoteReply(self.term, False, granted))

    def _on_vote_reply(self, now_us: int, sender: Member, reply: VoteReply) -> None:
        asked = self.role is Role.ASKER and reply.pre and reply.term == self.term + 1
        if reply.granted and (
            asked or (self.role is Role.CANDIDATE and not reply.pre and reply.term == self.term)
        ):
            self._count_vote(now_us, sender)
        elif reply.pre and not reply.granted and reply.term > self.term:
            self._follow(now_us, reply.term, None)

    def _count_vote(self, now_us: int, member: Member) -> None:
        self._granted.add(member)
        if not self.config.has_quorum(self._granted):
            return
        if self.role is Role.ASKER:
            self._begin(now_us, pre=False)
        elif self.role is Role.CANDIDATE and self._vote_write <= self._durable:
            self._lead(now_us)

    # Leading

    def _lead(self, now_us: int) -> None:
        self.role, self.leader, self._led_us, self._handed = Role.LEADER, self.me, now_us, False
        self.peers = {}
        self._note_members(now_us)
        self._append_own(now_us, Kind.NOTHING, b"", None)

    def _note_members(self, now_us: int) -> None:
        for member in self.config.all - {self.me}:
            self.peers.setdefault(
                member, Peer(self.log.last_index + 1, heard_us=now_us - self._timing.election_us)
            )
        for member in set(self.peers) - self.config.all:
            del self.peers[member]

    def _quorum_heard(self, now_us: int) -> bool:
        least = max(now_us - self._timing.election_us, 0)
        fresh = {
            member
            for member, peer in self.peers.items()
            if peer.heard_us > least and not peer.regressed
        }
        return now_us - self._led_us < self._timing.election_us or self.config.has_quorum(
            fresh | {self.me}
        )

    def _check_leads(self) -> None:
        if self.role is not Role.LEADER:
            raise Refused(
                f"not the leader; that is {self.leader}" if self.leader else "there is no leader"
            )
        if self._handing is not None:
            raise Refused(f"leadership is going to {self._handing}")

    def _append_own(self, now_us: int, kind: Kind, data: bytes, config: Config | None) -> None:
        entry = Entry(self.log.last_index + 1, self.term, kind, data, config)
        self.log.append([entry])
        self._write(entries=(entry,))
        if config is not None:
            self._note_members(now_us)
        self._beat(now_us)

    def _beat(self, now_us: int) -> None:
        self._beat_us = now_us + self._timing.beat_us
        for member in sorted(self.peers):
            self._tell(now_us, member)

    def _tell(self, now_us: int, member: Member) -> None:
        peer = self.peers[member]
        if peer.next_index <= self.log.snapshot.index:
            self._send_piece(now_us, member, peer)
            return
        prev = peer.next_index - 1
        term = self.log.term_at(prev)
        assert term is not None
        entries = () if peer.probing else self.log.since(peer.next_index, self._timing.entries)
        if entries:  # sent ahead of the answer; a lost one is found by the next beat's refusal
            peer.next_index += len(entries)
        self._send(member, Append(self.term, prev, term, entries, self.commit, now_us))

    def _on_append_reply(self, now_us: int, sender: Member, reply: AppendReply) -> None:
        peer = self.peers[sender]
        peer.heard_us = max(peer.heard_us, min(reply.sent_us, now_us))
        if not reply.ok:
            if reply.last < peer.match and reply.sent_us > peer.matched_us:
                peer.regressed, peer.match = (
                    True,
                    0,
                )  # it lost what it promised to hold: it must not count
            peer.next_index = max(1, min(peer.next_index - 1, reply.match + 1))
            peer.probing = True
            self._tell(now_us, sender)
            return
        if reply.match > peer.match:
            peer.match, peer.matched_us = reply.match, reply.sent_us
        if peer.probing or peer.next_index <= peer.match:
            peer.next_index, peer.probing = peer.match + 1, False
        self._advance(now_us)
        if peer.next_index <= self.log.last_index:
            self._tell(now_us, sender)
        self._hand_if_ready(now_us)

    def _advance(self, now_us: int) -> None:
        """Commits what a majority has on disk, if it is of this term (5.4.2): an entry of an earlier one could
        still be replaced."""
        matches = sorted(
            (self._durable_index if m == self.me else self._match(m) for m in self.config.voters),
            reverse=True,
        )
        index = matches[len(matches) // 2]
        if index > self.commit and self.log.term_at(index) == self.term:
            self._commit_to(index)
            if self.me not in self.config.voters and self.log.config()[0] <= self.commit:
                self._beat(
                    now_us
                )  # removed: the others hear that it is committed, then find another leader
                self._follow(now_us, self.term, None)
            else:
                self._beat(now_us)

    def _match(self, member: Member) -> int:
        peer = self.peers.get(member)
        return peer.match if peer is not None and not peer.regressed else 0

    def _commit_to(self, index: int) -> None:
        self._out.committed += [self.log.entry(at) for at in range(self.commit + 1, index + 1)]
        self.commit = index

    def _hand_if_ready(self, now_us: int) -> None:
        to = self._handing
        if to is not None and self._match(to) == self.log.last_index:
            self._send(to, ElectNow(self.term))
            self._handing, self._handed = None, True

    # Following

    def _counts(self, sender: Member, term: int) -> bool:
        return self.role is Role.LEADER and term == self.term and sender in self.peers

    def _heard(self, now_us: int, sender: Member, term: int) -> bool:
        """Whether it leads this term; then it was heard now."""
        if term < self.term:
            return False
        if self.role is not Role.FOLLOWER or self.leader != sender:
            self._follow(now_us, term, sender)
        self._heard_us = now_us
        self._draw(now_us)
        return True

    def _on_append(self, now_us: int, sender: Member, told: Append) -> None:
        if not self._heard(now_us, sender, told.term):
            self._send_after(
                self._writes,
                sender,
                AppendReply(self.term, False, 0, self.log.last_index, told.sent_us),
            )
            return
        if (
            told.prev_index < self.log.snapshot.index
        ):  # all of it up to the snapshot is committed, so it matches
            told = self._after_snapshot(told)
        if self.log.term_at(told.prev_index) != told.prev_term:
            hint = min(told.prev_index - 1, self.log.last_index)
            if self.log.term_at(told.prev_index) is not None:
                hint = self.log.first_of_term(told.prev_index) - 1
            hint = max(hint, self.commit)
            self._send_after(
                self._writes,
                sender,
                AppendReply(self.term, False, hint, self.log.last_index, told.sent_us),
            )
            return
        self._take_entries(told.entries)
        match = told.prev_index + len(told.entries)
        if min(told.commit, match) > self.commit:
            self._commit_to(min(told.commit, match))
        self._send_after(
            self._writes,
            sender,
            AppendReply(self.term, True, match, self.log.last_index, told.sent_us),
        )

    def _after_snapshot(self, told: Append) -> Append:
        at = self.log.snapshot
        kept = tuple(entry for entry in told.entries if entry.index > at.index)
        return Append(told.term, at.index, at.term, kept, told.commit, told.sent_us)

    def _take_entries(self, entries: Sequence[Entry]) -> None:
        """Only an entry of another term at its place is replaced: an old message must not shorten the log."""
        for at, entry in enumerate(entries):
            if self.log.term_at(entry.index) == entry.term:
                continue
            cut = entry.index if entry.index <= self.log.last_index else None
            if cut is not None:
                assert cut > self.commit, "a committed entry would be replaced"
                self.log.cut(cut)
            self.log.append(entries[at:])
            self._write(cut=cut, entries=tuple(entries[at:]))
            return

    # Snapshots

    def _send_piece(self, now_us: int, member: Member, peer: Peer) -> None:
        """One at a time; the next follows its answer, and a lost one is sent again with a later beat."""
        if now_us - peer.asked_us < self._timing.beat_us:
            return
        snapshot = self.log.snapshot
        peer.offset = min(peer.offset, len(snapshot.data))
        data = snapshot.data[peer.offset : peer.offset + self._timing.piece_bytes]
        peer.asked_us = now_us
        self._send(
            member,
            Piece(
                self.term,
                snapshot.index,
                snapshot.term,
                snapshot.config,
                peer.offset,
                data,
                len(snapshot.data),
                now_us,
            ),
        )

    def _on_piece(self, now_us: int, sender: Member, piece: Piece) -> None:
        if not self._heard(now_us, sender, piece.term):
            return
        if piece.index <= self.commit:  # it has come already, or the log has it
            self._send_after(
                self._writes, sender, PieceReply(self.term, piece.index, piece.total, piece.sent_us)
            )
            return
        of = piece.index, piece.term
        if self._piece_of != of:
            self._piece_of, self._pieces = of, bytearray()
        if piece.offset == len(self._pieces):
            self._pieces += piece.data
        if len(self._pieces) < piece.total:
            self._send(sender, PieceReply(self.term, piece.index, len(self._pieces), piece.sent_us))
            return
        self._install(Snapshot(piece.index, piece.snap_term, piece.config, bytes(self._pieces)))
        self._piece_of, self._pieces = None, bytearray()
        self._send_after(
            self._writes, sender, PieceReply(self.term, piece.index, piece.total, piece.sent_us)
        )

    def _install(self, snapshot: Snapshot) -> None:
        self.log.compact(snapshot)
        self.commit = snapshot.index
        self._out.committed.clear()
        self._out.installed = snapshot
        self._write(snapshot=snapshot)

    def _on_piece_reply(self, now_us: int, sender: Member, reply: PieceReply) -> None:
        peer = self.peers[sender]
        peer.heard_us = max(peer.heard_us, min(reply.sent_us, now_us))
        peer.asked_us = 0
        if reply.index != self.log.snapshot.index:
            peer.offset = 0  # another snapshot stands by now
            if reply.index < self.log.snapshot.index:
                return
        if reply.offset >= len(self.log.snapshot.data) or reply.index > self.log.snapshot.index:
            peer.match, peer.offset = max(peer.match, reply.index), 0
            peer.next_index, peer.probing = peer.match + 1, True
        else:
            peer.offset = reply.offset
        self._tell(now_us, sender)

    # Out

    def _write(
        self,
        cut: int | None = None,
        entries: tuple[Entry, ...] = (),
        snapshot: Snapshot | None = None,
    ) -> int:
        self._writes += 1
        self._out.writes.append(Write(self._writes, self.term, self.vote, cut, entries, snapshot))
        if cut is not None:  # what was durable beyond it is another's now
            self._durable_index = min(self._durable_index, cut - 1)
            self._ours = [(number, min(index, cut - 1)) for number, index in self._ours]
        self._ours.append((self._writes, self.log.last_index))
        return self._writes

    def _send(self, to: Member, message: Message) -> None:
        self._out.messages.append((to, message))

    def _send_after(self, rests_on: int, to: Member, message: Message) -> None:
        """Not before the write is durable, and not at all if we have gone on to another term meanwhile."""
        if rests_on <= self._durable:
            if message.term >= self.term or (isinstance(message, VoteReply) and message.pre):
                self._send(to, message)
        else:
            self._held.append((rests_on, to, message))
