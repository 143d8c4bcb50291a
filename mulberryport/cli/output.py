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
    """Print a value as indented JSON."""
    print(orjson.dumps(value, default=str, option=orjson.OPT_INDENT_2).decode())


def exit_with_error(message: str, code: int = EXIT_FAILED) -> NoReturn:
    """Print an error message and end the program."""
    # The output functions of cappa interpret [section] as markup and wrap lines.
    print(message, file=sys.stderr)
    raise cappa.Exit(code=code)


def exit_with_faults(error: InvalidFileError, as_json: bool) -> NoReturn:
    """Print all faults of a file and end the program."""
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
    exit_with_error("\n".join(str(fault) for fault in error.diagnostics))


def value_or_exit(outcome: Outcome[Any]) -> Any:
    """Return the value that was read; end the program if it could not be read.

    A read changes nothing, so the outcome ``Unknown`` is reported as a failure.
    """
    if isinstance(outcome, Done):
        return outcome.value
    exit_with_error(f"the store cannot be read: {outcome.reason}")
