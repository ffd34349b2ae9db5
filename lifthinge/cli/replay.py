"""`lifthinge replay`."""

import sys
from pathlib import Path

import click

from lifthinge.cli.common import FAILED, as_json, show, stop


@click.command()
@click.argument("path")
@click.option("--until", type=float, help="ms of Unix time, as the capture has it.")
@click.option(
    "--against", help="Another text of the module, a file, folder or revision, on the same input."
)
@as_json
def replay(path: str, until: float | None, against: str | None, as_json: bool) -> None:
    """Decides again on what a capture holds and compares every turn; exit 1 if one came out otherwise."""
    from lifthinge.capture.codec import CaptureFormatError
    from lifthinge.capture.formatting import format_value
    from lifthinge.capture.segments import UnreadableSegment, list_segments, read_segment
    from lifthinge.capture.turns import Replay

    where = Path(path)
    paths = (
        [
            one.path if not isinstance(one, UnreadableSegment) else stop(f"{one.path}: {one.why}")
            for one in list_segments(where)
        ]
        if where.is_dir()
        else [where]
    )
    if not paths:
        stop(f"{path}: no segment of a capture")
    played, life = Replay(), None
    other = _against(against) if against else None
    for one in paths:
        read = read_segment(one)
        if isinstance(read, UnreadableSegment):
            stop(f"{read.path}: {read.why}")
        head, records = read
        if head.get("life") != life:  # another start of the program: other numbers, another state
            played.policy, life = None, head.get("life")
            if other:
                other.reset()
        if until is not None:
            records = [record for record in records if record[0] != "t" or record[1] <= until]
        try:
            parted = played.run(records)
            if other and not parted:
                other.run(records)
        except CaptureFormatError as error:
            stop(f"{one.name}: {error}")
        if parted:
            lines = [
                f"parted at {parted.now:.1f} ms, {one.name}, record {parted.record_index}",
                "told:",
                *(f"  {format_value(event)}" for event in parted.events),
                "ordered now:",
                *(f"  {format_value(order)}" for order in parted.orders),
            ]
            show(
                {"ok": False, "at": parted.now, "segment": one.name, "turns": played.turn_count},
                as_json,
                [(line,) for line in lines],
            )
            sys.exit(FAILED)
    if other:
        _show_against(other, as_json)
        return
    show(
        {
            "ok": True,
            "turns": played.turn_count,
            "skipped": played.skipped_turn_count,
            "digest": played.digest.hexdigest()[:32],
        },
        as_json,
        [
            ("turns alike", played.turn_count),
            ("skipped", played.skipped_turn_count),
            ("digest", played.digest.hexdigest()[:32]),
        ],
    )


def _against(where: str):
    from lifthinge.capture.against import PolicyComparison, load_policy_class

    kind = load_policy_class(where)
    return PolicyComparison(kind) if isinstance(kind, type) else stop(kind)


def _show_against(other, as_json: bool) -> None:
    from lifthinge.capture.formatting import format_value

    kinds = sorted({*other.current_orders, *other.other_orders})
    data = {
        "turns": other.turn_count,
        "parted": other.divergence_count,
        "at": other.first_divergence.now if other.first_divergence else None,
        "orders": {kind: [other.current_orders[kind], other.other_orders[kind]] for kind in kinds},
    }
    rows = [
        ("orders", "this text", "the other"),
        *((kind, other.current_orders[kind], other.other_orders[kind]) for kind in kinds),
    ]
    if other.first_divergence:
        rows += [
            ("",),
            (
                f"{other.divergence_count} of {other.turn_count} turns parted; first at {other.first_divergence.now:.1f} ms, told:",
            ),
            *((f"  {format_value(event)}",) for event in other.first_divergence.events[:20]),
            ("this text:",),
            *(
                (f"  {format_value(order)}",)
                for order in other.first_divergence.current_orders[:20]
            ),
            ("the other:",),
            *((f"  {format_value(order)}",) for order in other.first_divergence.other_orders[:20]),
            ("From there on the world would have answered the other text otherwise.",),
        ]
    else:
        rows.append((f"{other.turn_count} turns alike",))
    show({"ok": True, **data}, as_json, [("  ".join(map(str, row)),) for row in rows])
