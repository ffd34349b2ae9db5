"""Another text of the decisions on the same input: where the two part, and how often.

The world would have answered the other text's orders otherwise: from the first parting on, what both hear is what the
recorded text brought about. So partings tell where to look, not which text is better.
"""

import importlib.util
import subprocess
import tempfile
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path

from lifthinge.capture.turns import Replay
from lifthinge.interface import Event, LogDecision, Order, SetTimer
from lifthinge.outer_names import outer_name

MODULE = "lifthinge/policy.py"
QUIET = (LogDecision, SetTimer)  # orders that change nothing outside


def load_policy_class(where: str) -> type | str:
    """`Policy` of another text, a file or a revision of this repository; or why there is none."""
    path = Path(where)
    if path.is_dir():
        path = path / MODULE
    if not path.is_file():
        shown = subprocess.run(["git", "show", f"{where}:{MODULE}"], capture_output=True, text=True)
        if shown.returncode:
            return f"{where}: no file, and no revision that has {MODULE}"
        with tempfile.NamedTemporaryFile("w", suffix=".py", delete=False) as file:
            file.write(shown.stdout)
        path = Path(file.name)
    spec = importlib.util.spec_from_file_location("lifthinge_other_policy", path)
    module = importlib.util.module_from_spec(spec)
    try:
        spec.loader.exec_module(module)
        return module.Policy
    except Exception as error:  # another text may fail in any way
        return f"{where}: {type(error).__name__}: {error}"


@dataclass
class Divergence:
    """The first turn at which the two ordered otherwise."""

    now: float
    events: list[Event]
    current_orders: list[Order]
    other_orders: list[Order]


@dataclass
class PolicyComparison:
    """Both texts in step."""

    kind: type
    turn_count: int = 0
    divergence_count: int = 0
    first_divergence: Divergence | None = None
    current_orders: Counter = field(default_factory=Counter)  # orders by kind
    other_orders: Counter = field(default_factory=Counter)

    def __post_init__(self) -> None:
        self._one, self._other = Replay(), Replay(self.kind)

    def run(self, records: Iterable[list]) -> None:
        """Plays on; `CaptureFormatError` if a record makes no sense."""
        for record in records:
            self._one.run([record])
            self._other.run([record])
            if record[0] != "t" or self._one.policy is None or self._other.policy is None:
                continue
            self.turn_count += 1
            ours, theirs = (
                [order for order in played.orders if not isinstance(order, QUIET)]
                for played in (self._one, self._other)
            )
            self.current_orders.update(outer_name(type(order)) for order in ours)
            self.other_orders.update(outer_name(type(order)) for order in theirs)
            if self._one.codec.encode(ours) != self._other.codec.encode(theirs):
                self.divergence_count += 1
                self.first_divergence = self.first_divergence or Divergence(
                    record[1], self._one.events, ours, theirs
                )

    def reset(self) -> None:
        """Another start of the program."""
        self._one.policy = self._other.policy = None
