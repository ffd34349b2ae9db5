"""`lifthinge check`."""

import click

from lifthinge.cli.common import as_json, need, show, stop


@click.command()
@click.argument("path")
@click.option(
    "--document", is_flag=True, help="The file is a document for the members to agree on."
)
@as_json
def check(path: str, document: bool, as_json: bool) -> None:
    """Checks an operators' file; the first thing that is wrong is told with file, line and key."""
    if document:
        from lifthinge.cli.agreed import need_document

        found = need_document(path)
        parts = {part: len(getattr(found, part)) for part in ("backends", "zones", "methods")}
        show({"ok": True, **parts}, as_json, parts.items())
        return
    found = need(path)
    on = {part: getattr(found, part) is not None for part in ("member", "agreed")}
    if found.member is not None:
        from lifthinge.cluster.keys import KeyFileProblem, read_keys

        for name in ("key_file", "client_key_file"):
            keys = read_keys(getattr(found.member, name))
            if isinstance(keys, KeyFileProblem):
                stop(f"{path}: member.{name}: {keys.path}: {keys.why}")
    show(
        {"ok": True, "log": found.log.form, **on},
        as_json,
        [("log", found.log.form), *((part, "on" if yes else "off") for part, yes in on.items())],
    )
