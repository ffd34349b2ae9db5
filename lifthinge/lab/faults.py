"""Faults put in on purpose: each breaks one rule on which safety rests, and must be found by the checkers.

Kept as a command (`lifthinge drill raft-model --fault NAME`), so that the checkers are known to be able to fail.
"""

from lifthinge.agreed.state import DocumentStateMachine, Fence
from lifthinge.raft.messages import Entry
from lifthinge.raft.node import Raft, Refusal


class CommitsOldTerms(Raft):
    """Commits entries of older terms by counting: figure 8 of the paper."""

    def _can_commit(self, index: int) -> bool:
        return True


class ForgetsVotes(Raft):
    """Answers before its vote is on disk."""

    def _save_vote(self) -> None:
        self._open_write()  # the term and the vote stay in memory


class VotesForAnyone(Raft):
    """Votes for who lacks what it holds."""

    def _is_log_up_to_date(self, last_term: int, last_index: int) -> bool:
        return True


class CutsWhatMatches(Raft):
    """Cuts all after the previous entry, although it matches: a late, short append takes committed entries."""

    def _first_conflict(self, entries: tuple[Entry, ...]) -> int:
        return 0


class ChangesTwoAtOnce(Raft):
    """Begins a change of members while another is under way."""

    def _change_blocked(self) -> Refusal | None:
        blocked = super()._change_blocked()
        return blocked if blocked and blocked.leader != self.name else None


class ReadsWithoutQuorum(Raft):
    """Answers reads without asking whether it still leads."""

    def _is_round_confirmed(self, beat: int) -> bool:
        return True


class SessionsNotInSnapshot(DocumentStateMachine):
    """Leaves the sessions out of the snapshot: a proposal sent again is not known there."""

    def restore(self, data: bytes) -> None:
        super().restore(data)
        self.sessions = {}


class FenceIgnored(Fence):
    """Obeys whatever configuration comes."""

    def admit(self, term: int, index: int) -> bool:
        self.latest_admitted = term, index
        return True


FAULTS: dict[str, type] = {
    "commit-old-terms": CommitsOldTerms,
    "vote-not-written": ForgetsVotes,
    "no-log-check": VotesForAnyone,
    "cut-matching": CutsWhatMatches,
    "two-at-once": ChangesTwoAtOnce,
    "stale-read": ReadsWithoutQuorum,
    "session-not-kept": SessionsNotInSnapshot,
    "fence-ignored": FenceIgnored,
}
