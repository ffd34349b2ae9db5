"""Errors as values: how far an attempt came, and why it came no further."""

from dataclasses import dataclass
from enum import Enum


class Reach(Enum):
    """How much of a request is known to have gone out."""

    NOT_SENT = "not_sent"
    PARTLY = "partly"
    WHOLLY = "wholly"
    ANSWERED = "answered"


class Cause(Enum):
    REFUSED = "refused"
    UNREACHABLE = "unreachable"
    LATE = "late"
    BROKEN = "broken"
    UNREADABLE = "unreadable"
    NO_ROOM = "no_room"
    MOVED = "moved"  # the partner is to be found elsewhere
    RENEWED = "renewed"  # asked for anew


@dataclass(frozen=True, slots=True)
class Failure:
    """An attempt that brought no answer; it may have been acted on if it was sent wholly."""

    reach: Reach
    cause: Cause
    detail: str = ""

    @property
    def may_have_run(self) -> bool:
        """
        >>> [Failure(reach, Cause.BROKEN).may_have_run for reach in Reach]
        [False, False, True, True]
        """
        return self.reach in (Reach.WHOLLY, Reach.ANSWERED)
