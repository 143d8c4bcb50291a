"""Commands for the tables: ``apply``, ``show`` and ``diff``."""

from pathlib import Path
from typing import Annotated, NoReturn

import cappa
from attrs import define

from ..outcomes import Done, Unknown
from ..settings import InvalidFileError
from ..store import StoreClient
from ..tables import (
    Accepted,
    MalformedRevision,
    RevisionConflict,
    Snapshot,
    Tables,
    change_tables,
    diff_tables,
    new_change_id,
    parse_tables,
    read_head,
    read_snapshot,
    render_tables,
    with_keys_of,
    withdrawn_keys,
)
from .connection import StoreOptions, open_store
from .output import (
    EXIT_FAILED,
    EXIT_UNKNOWN,
    EXIT_USAGE,
    exit_with_error,
    exit_with_faults,
    print_json,
    value_or_exit,
)
from .repair import read_daemon_snapshot

__all__ = ["ApplyCommand", "DiffCommand", "ShowCommand", "read_tables_file"]

FileArgument = Annotated[str, cappa.Arg(help="File with the tables as INI text.")]


def read_tables_file(path: str, as_json: bool) -> Tables:
    """Return the tables of a file; end the program if the file has faults."""
    try:
        return parse_tables(Path(path).read_text(), path)
    except InvalidFileError as error:
        exit_with_faults(error, as_json)
    except (OSError, UnicodeDecodeError) as error:
        exit_with_error(f"{path}: cannot be read: {error}")


@cappa.command(name="apply", help="Replace the tables in force by those of a file.")
@define
class ApplyCommand(StoreOptions):
    """Replace the tables in force by those of a file."""

    file: FileArgument = ""
    base: Annotated[
        int | None,
        cappa.Arg(
            long="--revision",
            help="Revision for which the file was prepared; the change is refused if "
            "another one is current. Default: the one at the start of the command.",
        ),
    ] = None
    after: Annotated[
        int,
        cappa.Arg(
            long=True,
            default=0,
            help="Make the new revision higher than this one, to repair a store that "
            "was restored from an old copy. With --settings, the keys in force in the "
            "daemon of the settings file are used.",
        ),
    ] = 0
    change_id: Annotated[
        str,
        cappa.Arg(
            long=True,
            default="",
            help="Change id of an earlier attempt whose outcome is unknown; requires "
            "--revision.",
        ),
    ] = ""

    def __call__(self) -> None:
        """Run the command."""
        if self.change_id and self.base is None:
            exit_with_error(
                "--change-id requires the --revision of the first attempt", EXIT_USAGE
            )
        tables = read_tables_file(self.file, self.json)
        store = open_store(self)
        daemon_snapshot = (
            read_daemon_snapshot(self) if self.after and not self.store else None
        )
        stored_revision = self._read_revision(store, daemon_snapshot)
        base = stored_revision if self.base is None else self.base
        change_id = self.change_id or new_change_id()
        current = daemon_snapshot or value_or_exit(read_snapshot(store))
        lines = self._diff_lines(current, tables)
        outcome = change_tables(
            store,
            lambda stored: with_keys_of(
                tables, daemon_snapshot.tables if daemon_snapshot else stored
            ),
            change_id=change_id,
            base=base,
            after=max(self.after, daemon_snapshot.revision if daemon_snapshot else 0),
            repair=daemon_snapshot is not None,
        )
        if isinstance(outcome, Unknown):
            self._exit_with_unknown(outcome.reason, change_id, base)
        if not isinstance(outcome, Done):
            exit_with_error(f"nothing was changed: {outcome.reason}")
        if isinstance(outcome.value, RevisionConflict):
            latest: Snapshot = value_or_exit(read_snapshot(store))
            self._exit_with_conflict(base, latest, tables)
        self._print_accepted(outcome.value, base, lines)

    def _read_revision(
        self, store: StoreClient, daemon_snapshot: Snapshot | None
    ) -> int:
        """Return the stored revision; 0 if the head is malformed and to be repaired."""
        outcome = read_head(store)
        if daemon_snapshot is not None and isinstance(outcome, MalformedRevision):
            return 0
        head, _ = value_or_exit(outcome)
        return head.revision

    def _diff_lines(self, current: Snapshot, tables: Tables) -> list[str]:
        name = f"revision {current.revision}"
        lines = diff_tables(current.tables, tables, name, self.file)
        tables_with_keys = with_keys_of(tables, current.tables)
        withdrawn_records = [
            current.tables.keys[digest]
            for digest in sorted(withdrawn_keys(current.tables, tables_with_keys))
        ]
        return lines + [
            f"# withdraws key {record.key_id} of workspace {record.workspace}"
            for record in withdrawn_records
        ]

    def _print_accepted(self, accepted: Accepted, base: int, lines: list[str]) -> None:
        if self.json:
            print_json(
                {
                    "revision": accepted.revision,
                    "change_id": accepted.change_id,
                    "base": base,
                    "diff": lines,
                }
            )
            return
        print("\n".join(lines or ["no differences"]))
        print(f"revision {accepted.revision} is accepted")
        if self.after and self.store:
            print("the keys are those of the store; withdraw what should not work")

    def _exit_with_conflict(
        self, base: int, latest: Snapshot, tables: Tables
    ) -> NoReturn:
        lines = self._diff_lines(latest, tables)
        if self.json:
            print_json(
                {
                    "outcome": "conflict",
                    "expected": base,
                    "revision": latest.revision,
                    "diff": lines,
                }
            )
        else:
            print("\n".join(lines or ["no differences"]))
        exit_with_error(
            f"nothing was changed: the file was prepared for revision {base}, but "
            f"revision {latest.revision} is current; the differences to it are above",
            EXIT_FAILED,
        )

    def _exit_with_unknown(self, reason: str, change_id: str, base: int) -> NoReturn:
        if self.json:
            print_json({"outcome": "unknown", "change_id": change_id, "base": base})
        exit_with_error(
            f"outcome unknown: {reason}\nrepeat the command with "
            f"--revision {base} --change-id {change_id}",
            EXIT_UNKNOWN,
        )


@cappa.command(name="show", help="Print the tables in force.")
@define
class ShowCommand(StoreOptions):
    """Print the tables in force."""

    def __call__(self) -> None:
        """Run the command."""
        snapshot = value_or_exit(read_snapshot(open_store(self)))
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
    exit_code: Annotated[
        bool,
        cappa.Arg(
            long=True,
            default=False,
            help="Exit with status 1 if there are differences.",
        ),
    ] = False

    def __call__(self) -> None:
        """Run the command."""
        tables = read_tables_file(self.file, self.json)
        snapshot = value_or_exit(read_snapshot(open_store(self)))
        name = f"revision {snapshot.revision}"
        lines = diff_tables(snapshot.tables, tables, name, self.file)
        if self.json:
            print_json({"revision": snapshot.revision, "diff": lines})
        else:
            print("\n".join(lines or ["no differences"]))
        if lines and self.exit_code:
            raise cappa.Exit(code=EXIT_FAILED)
