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
    from lifthinge.capture.codec import Unreadable
    from lifthinge.capture.segments import NoCapture, read_segment, segments
    from lifthinge.capture.turns import Replay
    from lifthinge.capture.words import words

    where = Path(path)
    paths = (
        [
            one.path if not isinstance(one, NoCapture) else stop(f"{one.path}: {one.why}")
            for one in segments(where)
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
        if isinstance(read, NoCapture):
            stop(f"{read.path}: {read.why}")
        head, records = read
        if head.get("life") != life:  # another start of the program: other numbers, another state
            played.policy, life = None, head.get("life")
            if other:
                other.begin_life()
        if until is not None:
            records = [record for record in records if record[0] != "t" or record[1] <= until]
        try:
            parted = played.play(records)
            if other and not parted:
                other.play(records)
        except Unreadable as error:
            stop(f"{one.name}: {error}")
        if parted:
            lines = [
                f"parted at {parted.now:.1f} ms, {one.name}, record {parted.place}",
                "told:",
                *(f"  {words(event)}" for event in parted.events),
                "ordered now:",
                *(f"  {words(order)}" for order in parted.orders),
            ]
            show(
                {"ok": False, "at": parted.now, "segment": one.name, "turns": played.turns},
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
            "turns": played.turns,
            "skipped": played.skipped,
            "digest": played.digest.hexdigest()[:32],
        },
        as_json,
        [
            ("turns alike", played.turns),
            ("skipped", played.skipped),
            ("digest", played.digest.hexdigest()[:32]),
        ],
    )


def _against(where: str):
    from lifthinge.capture.against import Against, load_text

    kind = load_text(where)
    return Against(kind) if isinstance(kind, type) else stop(kind)


def _show_against(other, as_json: bool) -> None:
    from lifthinge.capture.words import words

    kinds = sorted({*other.ours, *other.theirs})
    data = {
        "turns": other.turns,
        "parted": other.parted,
        "at": other.first.now if other.first else None,
        "orders": {kind: [other.ours[kind], other.theirs[kind]] for kind in kinds},
    }
    rows = [
        ("orders", "this text", "the other"),
        *((kind, other.ours[kind], other.theirs[kind]) for kind in kinds),
    ]
    if other.first:
        rows += [
            ("",),
            (
                f"{other.parted} of {other.turns} turns parted; first at {other.first.now:.1f} ms, told:",
            ),
            *((f"  {words(event)}",) for event in other.first.events[:20]),
            ("this text:",),
            *((f"  {words(order)}",) for order in other.first.ours[:20]),
            ("the other:",),
            *((f"  {words(order)}",) for order in other.first.theirs[:20]),
            ("From there on the world would have answered the other text otherwise.",),
        ]
    else:
        rows.append((f"{other.turns} turns alike",))
    show({"ok": True, **data}, as_json, [("  ".join(map(str, row)),) for row in rows])
