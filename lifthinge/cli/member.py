"""`lifthinge member`."""

import sys

import click

from lifthinge.cli.common import need, stop


@click.group()
def member() -> None:
    """A member of the cluster that agrees on the configuration."""


@member.command("run")
@click.argument("path")
@click.option(
    "--disk-delay",
    type=float,
    default=0.0,
    hidden=True,
    help="Drills: ms that each sync takes longer.",
)
@click.option(
    "--disk-most", type=int, default=0, hidden=True, help="Drills: bytes, then the disk is full."
)
def member_run(path: str, disk_delay: float, disk_most: int) -> None:
    """Runs the member that the operators' file describes, until SIGTERM."""
    from lifthinge.service.member import main
    from lifthinge.store.files import Files

    operators = need(path)
    if operators.member is None:
        stop(f"{path}: member: no such block")
    kind = Files
    if disk_delay or disk_most:
        from lifthinge.lab.disks import hindered

        kind = hindered(disk_delay, disk_most)
    sys.exit(main(operators.member, path, kind, operators.log.form))
