"""Output and exit codes of the command line."""

import sys
from typing import Any, NoReturn

import cappa
import orjson

from ..outcomes import Done, Outcome
from ..settings import InvalidFileError

__all__ = [
    "EXIT_FAILED",
    "EXIT_UNKNOWN",
    "EXIT_USAGE",
    "fail",
    "print_json",
    "report_faults",
    "unwrap_read",
]

EXIT_FAILED = 1
EXIT_USAGE = 2
EXIT_UNKNOWN = 3


def print_json(value: object) -> None:
    """Print a value as JSON."""
    print(orjson.dumps(value, default=str, option=orjson.OPT_INDENT_2).decode())


def fail(message: str, code: int = EXIT_FAILED) -> NoReturn:
    """End the program with an error message."""
    # The library's own output takes [section] for markup and breaks lines.
    print(message, file=sys.stderr)
    raise cappa.Exit(code=code)


def report_faults(error: InvalidFileError, as_json: bool) -> NoReturn:
    """End the program with every fault of a file."""
    if as_json:
        print_json(
            [
                {
                    "file": fault.file,
                    "section": fault.section,
                    "key": fault.key,
                    "message": fault.message,
                }
                for fault in error.diagnostics
            ]
        )
        raise cappa.Exit(code=EXIT_FAILED)
    fail("\n".join(str(fault) for fault in error.diagnostics))


def unwrap_read(outcome: Outcome[Any]) -> Any:
    """Return what was read, or end the program; reading leaves no doubt behind."""
    if isinstance(outcome, Done):
        return outcome.value
    fail(f"the store cannot be read: {outcome.reason}")
