"""`lifthinge agreed`."""

import difflib
import getpass
import json
import time
from datetime import UTC, datetime

import click

from lifthinge.agreed.document import Document, SchemaProblem, read_document
from lifthinge.cli.common import (
    FAILED,
    as_json,
    operators_file,
    refuse_sorry,
    show,
    stop,
    with_client,
)
from lifthinge.operators import FileProblem, find_line, read_hcl, read_text

WAIT = 15_000.0  # ms for a command


def need_document(path: str) -> Document:
    """A document in HCL: blocks `backend "id" {}`, `zone "name" {}`, `method "name" {}`."""
    text = read_text(path)
    data = read_hcl(text, path) if isinstance(text, str) else text
    if isinstance(data, FileProblem):
        stop(data)
    body: dict[str, list] = {}
    for block, part, key in (
        ("backend", "backends", "id"),
        ("zone", "zones", "name"),
        ("method", "methods", "name"),
    ):
        labelled = data.pop(block, [])
        if not isinstance(labelled, list) or not all(
            isinstance(one, dict) and all(isinstance(inner, dict) for inner in one.values())
            for one in labelled
        ):
            stop(f'{path}:{find_line(text, block)}: {block}: write {block} "{key}" {{ … }}')
        for one in labelled:
            for label, inner in one.items():
                until = inner.get("until")
                if block == "backend" and isinstance(until, str):
                    inner = {
                        **inner,
                        "until": _time(until, path, find_line(text, f"{label}.until")),
                    }
                body.setdefault(part, []).append({key: label, **inner})
    if data:
        from lifthinge.closest_name import closest_name

        name = next(iter(data))
        like = closest_name(name, ("backend", "zone", "method"))
        stop(
            f"{path}:{find_line(text, name)}: {name}: unknown"
            + (f"; did you mean {like}?" if like else "")
        )
    found = read_document(body)
    if isinstance(found, SchemaProblem):
        stop(f"{path}:{find_line(text, found.key.split('.')[-1])}: {found.key}: {found.why}")
    return found


def _time(text: str, path: str, line: int) -> float:
    try:
        when = datetime.fromisoformat(text)
    except ValueError:
        stop(f"{path}:{line}: until: not a time such as 2026-05-01T18:00:00+02:00")
    return when.replace(tzinfo=when.tzinfo or UTC).timestamp() * 1000.0


def body_of(document: Document) -> dict:
    """What is agreed on, in its plain form."""
    return document.model_dump(mode="python")


def _lines(body: bytes) -> list[str]:
    import msgspec

    return json.dumps(
        msgspec.msgpack.decode(body) if body else {}, indent=2, sort_keys=True
    ).splitlines()


@click.group()
def agreed() -> None:
    """The document that the members agree on."""


@agreed.command("propose")
@click.argument("document")
@click.option(
    "--on", "on", type=int, required=True, help="The version that the change was made on."
)
@click.option("--author", default=None, help="Who proposes; the user's name without it.")
@operators_file
@as_json
def propose(document: str, on: int, author: str | None, path: str, as_json: bool) -> None:
    """Proposes a document in place of a version: refused if another stands by now."""
    from lifthinge.agreed.commands import Accepted, VersionConflict

    body = body_of(need_document(document))

    async def use(client, until):
        return await client.propose(
            body, on, author or getpass.getuser(), time.time() * 1000.0, until
        )

    reply = with_client(path, use, WAIT)
    refuse_sorry(reply)
    if isinstance(reply, VersionConflict):
        stop(f"version {reply.version} stands, not {on}: look at it, then propose on it", FAILED)
    if not isinstance(reply, Accepted):
        stop(reply.why, FAILED)
    show(
        {"version": reply.version, "term": reply.term, "index": reply.index},
        as_json,
        [(f"version {reply.version} stands",)],
    )


def _shown(path: str, version: int | None):
    from lifthinge.cluster import client_messages

    async def use(client, until):
        return await client.ask(client_messages.GetVersion(version), until)

    reply = with_client(path, use, WAIT)
    refuse_sorry(reply)
    return reply


@agreed.command("show")
@click.argument("version", type=int, required=False)
@operators_file
@as_json
def show_agreed(version: int | None, path: str, as_json: bool) -> None:
    """The document that stands, or a version of before."""
    reply = _shown(path, version)
    lines = _lines(reply.body)
    show(
        {
            "version": reply.version,
            "term": reply.term,
            "index": reply.index,
            "author": reply.author,
            "at": reply.proposed_at_ms,
            "document": json.loads("\n".join(lines)),
        },
        as_json,
        [
            (
                f"version {reply.version}, term {reply.term}, index {reply.index}, by {reply.author or 'nobody'}",
            ),
            *((line,) for line in lines),
        ],
    )


@agreed.command("history")
@click.option("--since", type=int, default=0)
@operators_file
@as_json
def history(since: int, path: str, as_json: bool) -> None:
    """Who agreed what when."""
    from lifthinge.cluster import client_messages

    async def use(client, until):
        return await client.ask(client_messages.ListVersions(since), until)

    reply = with_client(path, use, WAIT)
    refuse_sorry(reply)
    rows = [
        (
            one.version,
            one.term,
            one.index,
            datetime.fromtimestamp(one.proposed_at_ms / 1000, UTC).isoformat(timespec="seconds"),
            one.author,
            one.digest.hex()[:16],
        )
        for one in reply.versions
    ]
    names = ("version", "term", "index", "at", "author", "digest")
    show({"versions": [dict(zip(names, row)) for row in rows]}, as_json, rows, names)


@agreed.command("diff")
@click.argument("old", type=int)
@click.argument("new", type=int, required=False)
@operators_file
def diff(old: int, new: int | None, path: str) -> None:
    """What changed between two versions, or from one to that which stands."""
    before, after = _shown(path, old), _shown(path, new)
    for line in difflib.unified_diff(
        _lines(before.body),
        _lines(after.body),
        f"version {before.version}",
        f"version {after.version}",
        lineterm="",
    ):
        click.echo(line)
