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
    "exit_with_error",
    "print_json",
    "exit_with_faults",
    "value_or_exit",
]

EXIT_FAILED = 1
EXIT_USAGE = 2
EXIT_UNKNOWN = 3


def print_json(value: object) -> None:
    """Print a value as JSON."""
    print(orjson.dumps(value, default=str, option=orjson.OPT_INDENT_2).decode())


def exit_with_error(message: str, code: int = EXIT_FAILED) -> NoReturn:
    """End the program with an error message."""
    # The library's own output takes [section] for markup and breaks lines.
    print(message, file=sys.stderr)
    raise cappa.Exit(code=code)


def exit_with_faults(error: InvalidFileError, as_json: bool) -> NoReturn:
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
                for fault in error.faults
            ]
        )
        raise cappa.Exit(code=EXIT_FAILED)
    exit_with_error("\n".join(str(fault) for fault in error.faults))


def value_or_exit(outcome: Outcome[Any]) -> Any:
    """Return what was read, or end the program; reading leaves no doubt behind."""
    if isinstance(outcome, Done):
        return outcome.value
    exit_with_error(f"the store cannot be read: {outcome.reason}")
