"""Errors as values: how far an attempt came, and why it came no further."""

from dataclasses import dataclass
from enum import Enum


class SendProgress(Enum):
    """How much of a request is known to have gone out."""

    NOT_SENT = "not_sent"
    PARTLY_SENT = "partly"
    FULLY_SENT = "wholly"
    ANSWERED = "answered"


class FailureCause(Enum):
    REFUSED = "refused"
    UNREACHABLE = "unreachable"
    LATE = "late"
    BROKEN = "broken"
    INVALID_RESPONSE = "unreadable"
    NO_CAPACITY = "no_room"
    ADDRESS_CHANGED = "moved"  # the partner is to be found elsewhere
    RESUBSCRIBED = "renewed"  # asked for anew


@dataclass(frozen=True, slots=True)
class Failure:
    """An attempt that brought no answer; it may have been acted on if it was sent wholly."""

    progress: SendProgress
    cause: FailureCause
    detail: str = ""

    @property
    def may_have_run(self) -> bool:
        """
        >>> [Failure(reach, FailureCause.BROKEN).may_have_run for reach in SendProgress]
        [False, False, True, True]
        """
        return self.progress in (SendProgress.FULLY_SENT, SendProgress.ANSWERED)
