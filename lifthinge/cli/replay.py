"""`lifthinge replay`."""
import sys
from pathlib import Path

import click

from lifthinge.cli.common import FAILED, as_json, show, stop


@click.command()
@click.argument("path")
@click.option("--until", type=float, help="ms of Unix time, as the capture has it.")
@click.option("--show", "print_turns", is_flag=True, help="Every turn that ordered something.")
@as_json
def replay(path: str, until: float | None, print_turns: bool, as_json: bool) -> None:
    """Decides again on what a capture holds and compares every turn; exit 1 if one came out otherwise."""
    from lifthinge.capture.codec import Unreadable
    from lifthinge.capture.segments import NoCapture, read_segment, segments
    from lifthinge.capture.turns import Replay
    where = Path(path)
    paths = [one.path if not isinstance(one, NoCapture) else stop(f"{one.path}: {one.why}")
             for one in segments(where)] if where.is_dir() else [where]
    if not paths:
        stop(f"{path}: no segment of a capture")
    played, life = Replay(), None
    for one in paths:
        read = read_segment(one)
        if isinstance(read, NoCapture):
            stop(f"{read.path}: {read.why}")
        head, records = read
        if head.get("life") != life:    # another start of the program: other numbers, another state
            played.choice, life = None, head.get("life")
        if until is not None:
            records = [record for record in records if record[0] != "t" or record[1] <= until]
        try:
            parted = played.play(records)
        except Unreadable as error:
            stop(f"{one.name}: {error}")
        if parted:
            lines = [f"parted at {parted.now:.1f} ms, {one.name}, record {parted.place}", "told:",
                     *(f"  {event}" for event in parted.events), "ordered now:",
                     *(f"  {order}" for order in parted.orders)]
            show({"ok": False, "at": parted.now, "segment": one.name, "turns": played.turns}, as_json,
                 [(line,) for line in lines])
            sys.exit(FAILED)
    show({"ok": True, "turns": played.turns, "skipped": played.skipped, "digest": played.digest.hexdigest()[:32]},
         as_json, [("turns alike", played.turns), ("skipped", played.skipped),
                   ("digest", played.digest.hexdigest()[:32])])
