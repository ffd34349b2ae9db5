"""`lifthinge drill`."""

import json
import sys

import click


@click.group()
def drill() -> None:
    """Long runs with failures; the last line is one JSON object, exit 1 if a promise is broken."""


@drill.command("raft")
@click.option("--members", "size", type=click.IntRange(1, 9), default=5, show_default=True)
@click.option("--seconds", type=click.FloatRange(5, 86_400), default=60.0, show_default=True)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--json", "as_json", is_flag=True, help="Nothing but the last line.")
@click.option("--keep", default="", help="A folder to keep the members' folders and logs in.")
def raft(size: int, seconds: float, seed: int, as_json: bool, keep: str) -> None:
    """Real processes on loopback, with kills, stops, cuts, slow and full disks, and changes of members."""
    from lifthinge.lab.raftdrill import run

    result = run(size, seconds, seed, keep, quiet=as_json)
    click.echo(json.dumps(result, sort_keys=True))
    sys.exit(0 if result["ok"] else 1)


@drill.command("raft-model")
@click.option("--walks", type=click.IntRange(1), default=100, show_default=True)
@click.option("--steps", type=click.IntRange(10), default=1_500, show_default=True)
@click.option("--size", type=click.IntRange(1, 7), default=3, show_default=True)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--fault", default="", help="A fault put in on purpose, which the checks must find.")
def raft_model(walks: int, steps: int, size: int, seed: int, fault: str) -> None:
    """The protocol alone under a virtual clock, with random failures and checks after every step."""
    from lifthinge.cli.common import stop
    from lifthinge.closest_name import closest_name
    from lifthinge.lab.faults import FAULTS
    from lifthinge.lab.raftworld import RaftWorld, Violation

    if fault and fault not in FAULTS:
        like = closest_name(fault, FAULTS)
        stop(
            f"--fault {fault}: unknown"
            + (f"; did you mean {like}?" if like else f"; one of {', '.join(FAULTS)}")
        )
    seen: dict[str, int] = {}
    for number in range(walks):
        world = RaftWorld(seed * 1_000_003 + number, size, fault)
        try:
            world.walk(steps)
        except (Violation, AssertionError) as error:
            click.echo(
                json.dumps({"ok": False, "walk": number, "fault": fault, "found": str(error)})
            )
            sys.exit(1)
        for name, count in world.seen.items():
            seen[name] = seen.get(name, 0) + count
    click.echo(json.dumps({"ok": True, "walks": walks, "fault": fault, **seen}, sort_keys=True))


@drill.command("raft-bench")
@click.option("--sizes", default="1,3,5", show_default=True)
@click.option("--proposers", default="1,16,64", show_default=True)
@click.option("--seconds", type=float, default=5.0, show_default=True, help="For each load.")
@click.option("--kills", type=int, default=0, show_default=True)
@click.option(
    "--entries",
    type=int,
    default=0,
    show_default=True,
    help="To catch up with, by log or snapshot.",
)
def raft_bench(sizes: str, proposers: str, seconds: float, kills: int, entries: int) -> None:
    """What the cluster costs, beside a bare sync and a bare echo in the same run."""
    from lifthinge.lab.raftbench import run

    numbers = [tuple(int(one) for one in text.split(",")) for text in (sizes, proposers)]
    click.echo(json.dumps(run(*numbers, seconds, kills, entries), indent=1))


@drill.command("capture-bench")
@click.option("--sizes", default="20,200", show_default=True, help="Numbers of backends.")
@click.option("--turns", type=int, default=400, show_default=True)
def capture_bench(sizes: str, turns: int) -> None:
    """What recording costs, on and off in turn on one load, and how fast a replay is."""
    from lifthinge.lab.capturebench import measure

    click.echo(json.dumps(measure(tuple(int(one) for one in sizes.split(",")), turns), indent=1))
