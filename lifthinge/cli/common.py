"""What commands share: one-line errors, tables for people, JSON for programs."""

import asyncio
import json
import sys
import time
from collections.abc import Awaitable, Callable, Iterable
from typing import Any, NoReturn, TypeVar

import click

from lifthinge.operators import FileProblem, Operators, load_operators

DONE, FAILED, UNUSABLE = 0, 1, 2
T = TypeVar("T")

as_json = click.option("--json", "as_json", is_flag=True, help="JSON, one object, for programs.")
operators_file = click.option(
    "--operator",
    "path",
    default="deploy/operator.hcl",
    show_default=True,
    help="The operators' file.",
)


def stop(why: object, code: int = UNUSABLE) -> NoReturn:
    """Ends the command with one line."""
    click.echo(f"lifthinge: {why}", err=True)
    sys.exit(code)


def need(path: str) -> Operators:
    """The operators' file, or the end of the command."""
    found = load_operators(path)
    if isinstance(found, FileProblem):
        stop(found)
    return found


def show(data: Any, as_json: bool, rows: Iterable[tuple] = (), head: tuple[str, ...] = ()) -> None:
    """A table for people, or the data."""
    if as_json:
        click.echo(json.dumps(data, sort_keys=True))
        return
    table = (
        [head, *[tuple(str(one) for one in row) for row in rows]]
        if head
        else [tuple(str(one) for one in row) for row in rows]
    )
    widths = [max(len(row[at]) for row in table) for at in range(len(table[0]))] if table else []
    for row in table:
        click.echo("  ".join(one.ljust(width) for one, width in zip(row, widths)).rstrip())


def with_client(path: str, use: Callable[..., Awaitable[T]], wait_ms: float) -> T:
    """Runs `use(client, until)` against the members that the operators' file names."""
    from lifthinge.cluster.client import ClusterClient
    from lifthinge.cluster.keys import KeyFile, KeyFileProblem, read_keys
    from lifthinge.operators import split_address
    from lifthinge.service.run import make_runtime

    part = need(path).agreed
    if part is None:
        stop(f"{path}: agreed: no such block, so no members to ask")
    keys = read_keys(part.key_file)
    if isinstance(keys, KeyFileProblem):
        stop(f"{path}: agreed.key_file: {keys.path}: {keys.why}")

    async def run() -> T:
        runtime = make_runtime(time.time_ns(), 256)
        members = {name: split_address(one) for name, one in part.members.items()}
        client = ClusterClient(runtime, members, part.cluster, "cli", KeyFile(part.key_file, keys))
        try:
            return await use(client, runtime.now + wait_ms)
        finally:
            client.close()

    return asyncio.run(run())


def refuse_sorry(reply: Any) -> None:
    """Ends the command if the members gave no proper answer."""
    from lifthinge.cluster.client_messages import Rejection

    if reply is None:
        stop("no member answered in time", FAILED)
    if isinstance(reply, Rejection):
        leads = f"; {reply.leader} leads" if reply.leader else ""
        unsure = "; it may have taken effect" if reply.may_have_run else ""
        stop(f"{reply.why}{leads}{unsure}", FAILED)
