"""Comparison of the policy with another revision of it on the same recorded input.

The proxies and backends would have responded differently to the other revision's orders: from the
first divergence on, both revisions receive events that the recorded one brought about. So
divergences tell where to look, not which revision is better.
"""

import importlib.util
import subprocess
import tempfile
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path

from lifthinge.capture.turns import EXPLANATIONS, Replay
from lifthinge.interface import Event, Order, SetTimer
from lifthinge.outer_names import outer_name

POLICY_PATH = "lifthinge/policy.py"
# Orders that change nothing outside the controller; they are not compared.
INTERNAL_ORDERS = (*EXPLANATIONS, SetTimer)


def load_policy_class(source: str) -> type | str:
    """Return the `Policy` class of a file, a folder or a git revision, or why it can't be loaded.

    A folder is a root of this repository; a revision is looked up in the current folder's one.
    """
    path = Path(source)
    if path.is_dir():
        path = path / POLICY_PATH
    if not path.is_file():
        git_show = subprocess.run(
            ["git", "show", f"{source}:{POLICY_PATH}"], capture_output=True, text=True
        )
        if git_show.returncode:
            return f"{source}: no file, and no revision that has {POLICY_PATH}"
        with tempfile.NamedTemporaryFile("w", suffix=".py", delete=False) as file:
            file.write(git_show.stdout)
        path = Path(file.name)
    spec = importlib.util.spec_from_file_location("lifthinge_other_policy", path)
    module = importlib.util.module_from_spec(spec)
    try:
        spec.loader.exec_module(module)
        return module.Policy
    # The loaded code may fail in any way.
    except Exception as error:
        return f"{source}: {type(error).__name__}: {error}"


@dataclass
class Divergence:
    """A turn at which the two revisions' orders differ."""

    # Time of the turn in ms.
    now: float
    events: list[Event]
    current_orders: list[Order]
    other_orders: list[Order]


@dataclass
class PolicyComparison:
    """Replays records with the current policy and, step by step, with the class `kind`."""

    kind: type
    # Turns that both replayed, and those of them in which the orders differ.
    turn_count: int = 0
    divergence_count: int = 0
    first_divergence: Divergence | None = None
    # Numbers of orders by their outer names.
    current_orders: Counter = field(default_factory=Counter)
    other_orders: Counter = field(default_factory=Counter)

    def __post_init__(self) -> None:
        self._current = Replay()
        self._other = Replay(self.kind)

    def run(self, records: Iterable[list]) -> None:
        """Replay further records; raise `CaptureFormatError` for an invalid one."""
        for record in records:
            self._current.run([record])
            self._other.run([record])
            if record[0] != "t" or self._current.policy is None or self._other.policy is None:
                continue
            self.turn_count += 1
            current_orders, other_orders = (
                [order for order in replay.orders if not isinstance(order, INTERNAL_ORDERS)]
                for replay in (self._current, self._other)
            )
            self.current_orders.update(outer_name(type(order)) for order in current_orders)
            self.other_orders.update(outer_name(type(order)) for order in other_orders)
            if self._current.codec.encode(current_orders) != self._other.codec.encode(other_orders):
                self.divergence_count += 1
                self.first_divergence = self.first_divergence or Divergence(
                    record[1], self._current.events, current_orders, other_orders
                )

    def reset(self) -> None:
        """Wait for the next keyframe: the following records are of another start of the program."""
        self._current.policy = None
        self._other.policy = None
