"""Reports of a part of a decision that raised an exception.

A decision has parts: taking in each event, the evaluation of reports, the placement round, and the
orders. One that raises is reported with the other orders, and the others go on.

>>> try:
...     {}["a"]
... except KeyError as error:
...     fault = report_fault("round", error)
>>> fault.part, fault.error.partition(" (")[0], fault.trace.splitlines()[-1]
('round', "KeyError: 'a'", "KeyError: 'a'")
"""

import traceback

from lifthinge.interface import DecisionFault, Event


def report_fault(part: str, error: Exception) -> DecisionFault:
    """Return the report of an exception, with the place that raised it."""
    place = traceback.extract_tb(error.__traceback__)[-1]
    return DecisionFault(
        part,
        f"{type(error).__name__}: {error} ({place.name}, line {place.lineno})",
        "".join(traceback.format_exception(error)),
    )


def event_part(event: Event) -> str:
    """Return the name of the part that takes in an event."""
    return f"event {type(event).__name__}"
