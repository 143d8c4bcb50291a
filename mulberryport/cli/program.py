"""The command line program and its commands."""

import cappa
from attrs import define

from .. import __version__
from .blocked import BlockedCommand
from .keys import KeyCommand
from .processes import (
    CheckCommand,
    DaemonCommand,
    EntryCommand,
    StandinCommand,
    StorageCommand,
)
from .status import ExplainCommand, StatusCommand, TimelineCommand
from .tables import ApplyCommand, DiffCommand, ShowCommand
from .tables_check import TablesCommand

__all__ = ["Program", "run"]


@cappa.command(name="mulberryport", help="A rollout service.")
@define
class Program:
    """A rollout service between trainers, live callers and targets."""

    command: cappa.Subcommands[
        DaemonCommand
        | EntryCommand
        | StorageCommand
        | CheckCommand
        | ApplyCommand
        | ShowCommand
        | DiffCommand
        | TablesCommand
        | KeyCommand
        | StatusCommand
        | BlockedCommand
        | TimelineCommand
        | ExplainCommand
        | StandinCommand
    ]


def run() -> None:
    """Run the program with the command line arguments of the process."""
    cappa.invoke(Program, version=__version__)
