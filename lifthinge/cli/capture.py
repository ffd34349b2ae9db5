"""`lifthinge capture`."""

from datetime import UTC, datetime
from pathlib import Path

import click

from lifthinge.cli.common import as_json, show, stop


@click.group()
def capture() -> None:
    """Captures: what a folder holds, and a copy with other names."""


def _segments(folder: str) -> list:
    from lifthinge.capture.segments import list_segments

    found = list_segments(Path(folder)) if Path(folder).is_dir() else []
    return found or stop(f"{folder}: no segment of a capture")


@capture.command("list")
@click.argument("folder")
@as_json
def capture_list(folder: str, as_json: bool) -> None:
    """Every segment: from when to when, and how many turns."""
    from lifthinge.capture.segments import UnreadableSegment

    rows, data = [], []
    for one in _segments(folder):
        if isinstance(one, UnreadableSegment):
            rows.append((one.path, "-", "-", "-", "-", one.why))
            data.append({"segment": one.path, "unusable": one.why})
            continue
        size = one.path.stat().st_size
        first, last = (
            datetime.fromtimestamp(at / 1000, UTC).isoformat(timespec="milliseconds")
            for at in (one.first_ms, one.last_ms)
        )
        rows.append((one.path.name, first, last, one.turn_count, size, one.header.get("name", "")))
        data.append(
            {
                "segment": one.path.name,
                "first_ms": one.first_ms,
                "last_ms": one.last_ms,
                "turns": one.turn_count,
                "bytes": size,
                "name": one.header.get("name"),
            }
        )
    show(
        {"segments": data}, as_json, rows, ("segment", "from", "to", "turns", "bytes", "controller")
    )


@capture.command("anonymise")
@click.argument("folder")
@click.argument("target")
@as_json
def capture_anonymise(folder: str, target: str, as_json: bool) -> None:
    """A copy in which backends and the controller have other names, the same all through; it replays alike."""
    from lifthinge.capture.anonymise import BackendPseudonyms, anonymise_records
    from lifthinge.capture.segments import SegmentWriter, UnreadableSegment, read_segment

    if Path(target).exists() and any(Path(target).iterdir()):
        stop(f"{target}: not an empty folder")
    names, turns = BackendPseudonyms(), 0
    for one in _segments(folder):
        if isinstance(one, UnreadableSegment):
            stop(f"{one.path}: {one.why}")
        head, records = read_segment(one.path)
        writer = SegmentWriter(
            Path(target), {"name": "controller", "life": head.get("life")}, 1 << 62, 1 << 62
        )
        writer.write(anonymise_records(records, names))
        writer.close()
        turns += one.turn_count
    show({"ok": True, "turns": turns}, as_json, [("turns", turns)])
