"""`lifthinge`: groups of commands. Exit codes: 0 done, 1 it did not come out well, 2 what was given can't be used."""

import importlib

import click

GROUPS = {  # command: module under lifthinge.cli, its function, what it is for
    "run": (
        "run",
        "run",
        "Runs one controller, as `python -m lifthinge` does, with an operators' file.",
    ),
    "check": ("check", "check", "Checks an operators' file, or a document with --document."),
    "member": ("member", "member", "A member of the cluster that agrees on the configuration."),
    "members": ("members", "members", "Who the members are; adds, removes, lets another lead."),
    "agreed": ("agreed", "agreed", "The agreed document: propose, show, history, diff."),
    "store": ("store", "store", "Folders of members: verify."),
    "capture": (
        "capture",
        "capture",
        "Captures: what a folder holds, and a copy with other names.",
    ),
    "replay": (
        "replay",
        "replay",
        "Decides again on what a capture holds, and compares every turn.",
    ),
    "drill": ("drill", "drill", "Long runs with failures, and whether all promises were kept."),
}


class _Late(click.Group):
    """A group whose commands are imported once they are called."""

    def list_commands(self, context: click.Context) -> list[str]:
        return list(GROUPS)

    def get_command(self, context: click.Context, name: str) -> click.Command | None:
        if name not in GROUPS:
            return None
        module, function, _ = GROUPS[name]
        return getattr(importlib.import_module(f"lifthinge.cli.{module}"), function)

    def format_commands(self, context: click.Context, formatter: click.HelpFormatter) -> None:
        with formatter.section("Commands"):
            formatter.write_dl([(name, words) for name, (_, _, words) in GROUPS.items()])


@click.command(cls=_Late, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="lifthinge", message="%(prog)s %(version)s")
def main() -> None:
    """A configuration controller for a fleet of proxies."""
