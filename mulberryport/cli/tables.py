"""Commands on the tables: ``apply``, ``show`` and ``diff``."""

from pathlib import Path
from typing import Annotated

import cappa
from attrs import define

from ..settings import InvalidFileError
from ..tables import (
    RevisionConflict,
    Tables,
    change_tables,
    diff_tables,
    new_change_id,
    parse_tables,
    read_snapshot,
    render_tables,
    with_keys_of,
)
from .connection import StoreOptions, open_store
from .output import fail, print_json, report_faults, unwrap

__all__ = ["ApplyCommand", "DiffCommand", "ShowCommand", "read_tables_file"]

FileArgument = Annotated[str, cappa.Arg(help="Tables as INI text.")]


def read_tables_file(path: str, as_json: bool) -> Tables:
    """Return the tables of a file, or end the program with its faults."""
    try:
        return parse_tables(Path(path).read_text(), path)
    except InvalidFileError as error:
        report_faults(error, as_json)
    except (OSError, UnicodeDecodeError) as error:
        fail(f"{path}: cannot be read: {error}")


@cappa.command(name="apply", help="Put the tables of a file in force.")
@define
class ApplyCommand(StoreOptions):
    """Put the tables of a file in force."""

    file: FileArgument = ""
    base: Annotated[
        int | None,
        cappa.Arg(long="--revision", help="Refuse unless this revision is current."),
    ] = None
    after: Annotated[
        int,
        cappa.Arg(long=True, default=0, help="Make the new revision higher than this."),
    ] = 0
    change_id: Annotated[
        str,
        cappa.Arg(
            long=True, default="", help="Id of the change, to repeat a lost one."
        ),
    ] = ""

    def __call__(self) -> None:
        """Run the command."""
        tables = read_tables_file(self.file, self.json)
        change_id = self.change_id or new_change_id()
        hint = f"; repeat with --change-id {change_id}"
        accepted = unwrap(
            change_tables(
                open_store(self),
                lambda current: with_keys_of(tables, current),
                change_id=change_id,
                base=self.base,
                after=self.after,
            ),
            hint,
        )
        if isinstance(accepted, RevisionConflict):
            fail(
                f"the tables changed: expected revision {accepted.expected}; see "
                "mulberryport diff, then apply again"
            )
        if self.json:
            print_json({"revision": accepted.revision, "change_id": accepted.change_id})
        else:
            print(f"revision {accepted.revision} is in force")


@cappa.command(name="show", help="Print the tables in force.")
@define
class ShowCommand(StoreOptions):
    """Print the tables in force."""

    def __call__(self) -> None:
        """Run the command."""
        snapshot = unwrap(read_snapshot(open_store(self)))
        if self.json:
            print_json(
                {
                    "revision": snapshot.revision,
                    "change_id": snapshot.change_id,
                    "tables": render_tables(snapshot.tables),
                    "keys": [
                        {"id": record.key_id, "workspace": record.workspace}
                        for record in snapshot.tables.keys.values()
                    ],
                }
            )
            return
        print(f"# revision {snapshot.revision}\n{render_tables(snapshot.tables)}")
        for record in snapshot.tables.keys.values():
            print(f"# key {record.key_id} of workspace {record.workspace}")


@cappa.command(name="diff", help="Compare a file with the tables in force.")
@define
class DiffCommand(StoreOptions):
    """Compare a file with the tables in force."""

    file: FileArgument = ""

    def __call__(self) -> None:
        """Run the command; exit with 1 if there are differences."""
        tables = read_tables_file(self.file, self.json)
        snapshot = unwrap(read_snapshot(open_store(self)))
        name = f"revision {snapshot.revision}"
        lines = diff_tables(snapshot.tables, tables, name, self.file)
        if self.json:
            print_json({"revision": snapshot.revision, "diff": lines})
        else:
            print("\n".join(lines))
        raise cappa.Exit(code=1 if lines else 0)
