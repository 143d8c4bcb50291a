"""Command ``tables check``: what a configuration would do, before it is sent."""

import codecs
import re
from pathlib import Path
from typing import Annotated

import cappa
from attrs import asdict, define

from ..outcomes import Done
from ..platform.configuration import CONFIGURATION_KEY, decode_configuration
from ..platform.counts import check_address
from ..platform.store import PlatformStore
from ..settings import Diagnostic, InvalidFileError
from ..tables import (
    ERROR,
    Finding,
    Snapshot,
    compare_tables,
    inspect_tables,
    parse_tables,
    read_snapshot,
)
from .connection import StoreOptions, open_store
from .output import (
    EXIT_FAILED,
    EXIT_USAGE,
    exit_with_error,
    print_json,
    value_or_exit,
)

__all__ = ["TablesCommand"]

MAX_JSON_INTEGER = 2**63 - 1
# A JSON object or list, and not the name of a section in brackets.
JSON_START = re.compile(rb"\s*(\{|\[\s*[\[\]{\"])")


@cappa.command(
    name="check",
    help="Check a configuration before it is sent: errors, entries that never match, "
    "limits that contradict each other, and what differs from the version in force.",
)
@define
class TablesCheckCommand(StoreOptions):
    """Check a configuration before it is sent."""

    file: Annotated[
        str,
        cappa.Arg(help="Tables as INI text, or the platform's configuration as JSON."),
    ] = ""
    in_force: Annotated[
        str | None,
        cappa.Arg(long=True, default=None, help="File with the version in force."),
    ] = None
    platform_store: Annotated[
        str | None,
        cappa.Arg(
            long=True,
            default=None,
            help="Address (IP:PORT) of the platform's store, which has the version "
            "in force.",
        ),
    ] = None

    def __call__(self) -> None:
        """Run the command; exit with status 1 if anything was found."""
        snapshot, findings = _check_file(self.file)
        current = self._read_current()
        if snapshot is None or current is None:
            differences = []
        else:
            differences = compare_tables(current.tables, snapshot.tables)
            findings += _check_revision(snapshot, current)
        if self.json:
            print_json(
                {
                    "findings": [asdict(finding) for finding in findings],
                    "revision_in_force": _fit(current.revision) if current else None,
                    "differences": [
                        {name: _fit(value) for name, value in asdict(entry).items()}
                        for entry in differences
                    ],
                }
            )
        else:
            for line in findings or ["nothing found"]:
                print(line)
            if current is not None:
                print(f"# compared with revision {current.revision}")
                for line in differences or ["no differences"]:
                    print(line)
        if findings:
            raise cappa.Exit(code=EXIT_FAILED)

    def _read_current(self) -> Snapshot | None:
        """Return the version in force; None if no source of it was named."""
        if self.in_force:
            snapshot, findings = _check_file(self.in_force)
            if snapshot is None:
                exit_with_error(f"{self.in_force}: {findings[0]}")
            return snapshot
        if self.platform_store:
            return _read_platform_snapshot(self.platform_store)
        if self.store or self.settings:
            return value_or_exit(read_snapshot(open_store(self)))
        return None


def _fit(value: object) -> object:
    """Return a value that fits into JSON; longer integers become text."""
    if isinstance(value, int) and abs(value) > MAX_JSON_INTEGER:
        return hex(value)
    return value


def _check_file(path: str) -> tuple[Snapshot | None, list[Finding]]:
    """Return the snapshot in a file, None if it has none, and what was found."""
    try:
        content = Path(path).read_bytes()
    except OSError as error:
        exit_with_error(f"{path}: cannot be read: {error}", EXIT_USAGE)
    findings: list[Finding] = []
    content = content.removeprefix(codecs.BOM_UTF8)
    if JSON_START.match(content):
        try:
            snapshot = decode_configuration(
                content,
                lambda *place: findings.append(Finding(ERROR, *place)),
            )
        except ValueError as error:
            return None, [Finding(ERROR, "configuration", "", str(error))]
        return snapshot, findings + inspect_tables(snapshot.tables)
    try:
        tables = parse_tables(content.decode(), path)
    except InvalidFileError as error:
        faults = error.diagnostics
        return None, [_describe_fault(fault) for fault in faults]
    except UnicodeDecodeError as error:
        message = f"not UTF-8: {error.reason} at byte {error.start}"
        return None, [Finding(ERROR, "file", "", message)]
    return Snapshot(tables=tables), inspect_tables(tables, has_keys=False)


def _describe_fault(fault: Diagnostic) -> Finding:
    if fault.section:
        return Finding(ERROR, fault.section, fault.key, fault.message)
    # The message quotes lines, in which there may be API keys.
    lines = ", ".join(re.findall(r"\bline:? +(\d+)", fault.message))
    message = (
        f"cannot be read as INI text: line {lines}"
        if lines
        else "cannot be read as INI text"
    )
    return Finding(ERROR, "file", "", message)


def _check_revision(new: Snapshot, current: Snapshot) -> list[Finding]:
    """Return an error if daemons would not adopt the new version."""
    # Tables as INI text get their revision when they are applied.
    if not new.revision or new.revision > current.revision:
        return []
    message = f"version {new.revision} is not above version {current.revision} in force"
    return [Finding(ERROR, "configuration", "version", message)]


def _read_platform_snapshot(address: str) -> Snapshot:
    try:
        store = PlatformStore(check_address(address))
    except ValueError as error:
        exit_with_error(f"--platform-store: {error}", EXIT_USAGE)
    outcome = store.read(CONFIGURATION_KEY)
    if not isinstance(outcome, Done) or outcome.value is None:
        reason = (
            "it has no configuration" if isinstance(outcome, Done) else outcome.reason
        )
        exit_with_error(f"the store cannot be read: {reason}")
    try:
        return decode_configuration(outcome.value.value, lambda *place: None)
    except ValueError as error:
        exit_with_error(f"the configuration in force is malformed: {error}")


@cappa.command(name="tables", help="Commands for the tables as a whole.")
@define
class TablesCommand:
    """Commands for the tables as a whole."""

    command: cappa.Subcommands[TablesCheckCommand]
