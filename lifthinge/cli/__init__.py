"""The command line; each command imports its subsystem when it is called."""

from lifthinge.cli.root import main

__all__ = ["main"]
