"""`lifthinge store`."""

from pathlib import Path

import click

from lifthinge.cli.common import FAILED, as_json, show, stop


@click.group()
def store() -> None:
    """Folders of members."""


@store.command("verify")
@click.argument("folder")
@as_json
def verify(folder: str, as_json: bool) -> None:
    """Reads a member's folder without changing it: what it holds, or where it is damaged."""
    from lifthinge.cluster.disk import rebuild_state
    from lifthinge.store.files import Files
    from lifthinge.store.store import StoreProblem, inspect_folder

    if not Path(folder).is_dir():
        stop(f"{folder}: no such folder")
    found = inspect_folder(Files(Path(folder)))
    read = (
        found if isinstance(found, StoreProblem) else rebuild_state(found.snapshot, found.records)
    )
    if isinstance(read, StoreProblem):
        stop(f"{folder}/{read}", FAILED)
    image, cluster = read
    last = image.entries[-1].index if image.entries else image.snapshot.index
    data = {
        "cluster": cluster.cluster if cluster else None,
        "member": cluster.member if cluster else None,
        "term": image.term,
        "voted": image.voted_for,
        "snapshot": image.snapshot.index,
        "last": last,
        "segments": found.last_segment - found.first_segment + 1,
        "torn_bytes": found.torn_bytes,
        "left_by_a_crash": len(found.stale_files),
    }
    show({"ok": True, **data}, as_json, data.items())
