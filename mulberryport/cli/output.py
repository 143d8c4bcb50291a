"""Output and exit codes of the command line."""

from typing import Any, NoReturn

import cappa
import orjson

from ..outcomes import Done, Outcome, Unknown
from ..settings import InvalidFileError

__all__ = [
    "EXIT_FAILED",
    "EXIT_UNKNOWN",
    "fail",
    "print_json",
    "report_faults",
    "unwrap",
]

EXIT_FAILED = 1
EXIT_UNKNOWN = 3


def print_json(value: object) -> None:
    """Print a value as JSON."""
    print(orjson.dumps(value, default=str, option=orjson.OPT_INDENT_2).decode())


def fail(message: str, code: int = EXIT_FAILED) -> NoReturn:
    """End the program with an error message."""
    raise cappa.Exit(message, code=code)


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
                for fault in error.faults
            ]
        )
        raise cappa.Exit(code=EXIT_FAILED)
    fail("\n".join(str(fault) for fault in error.faults))


def unwrap(outcome: Outcome[Any], hint: str = "") -> Any:
    """Return the value of an outcome, or end the program."""
    if isinstance(outcome, Done):
        return outcome.value
    if isinstance(outcome, Unknown):
        fail(f"outcome unknown: {outcome.reason}{hint}", EXIT_UNKNOWN)
    fail(outcome.reason)
