"""Failed attempts as values: how much of the request was sent, and why there is no answer."""

from dataclasses import dataclass
from enum import Enum


class SendProgress(Enum):
    """How much of a request is known to have been sent."""

    NOT_SENT = "not_sent"
    PARTLY_SENT = "partly"
    FULLY_SENT = "wholly"
    ANSWERED = "answered"


class FailureCause(Enum):
    """Why an attempt has brought no usable answer."""

    REFUSED = "refused"  # connection refused
    UNREACHABLE = "unreachable"
    LATE = "late"  # nothing received before the deadline
    BROKEN = "broken"  # the connection was lost
    INVALID_RESPONSE = "unreadable"
    NO_CAPACITY = "no_room"  # all slots for connections or requests are taken
    ADDRESS_CHANGED = "moved"  # the server's address was changed by a new configuration
    RESUBSCRIBED = "renewed"  # the stream is replaced by a new subscription


@dataclass(frozen=True, slots=True)
class Failure:
    """An attempt that has brought no usable answer.

    `detail` is free text for the log.
    """

    progress: SendProgress
    cause: FailureCause
    detail: str = ""

    @property
    def may_have_run(self) -> bool:
        """Whether the server may have carried out the request, as all of it was sent.

        >>> [Failure(progress, FailureCause.BROKEN).may_have_run for progress in SendProgress]
        [False, False, True, True]
        """
        return self.progress in (SendProgress.FULLY_SENT, SendProgress.ANSWERED)
