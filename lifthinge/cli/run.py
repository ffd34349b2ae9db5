"""`lifthinge run`."""

import sys

import click

from lifthinge.cli.common import need


@click.command()
@click.option(
    "--operator",
    "path",
    help="The operators' file; without it the platform's configuration is all.",
)
def run(path: str | None) -> None:
    """Runs one controller by the platform's four variables, with what the operators' file turns on."""
    from lifthinge.service.run import main

    sys.exit(main([], need(path) if path else None))
