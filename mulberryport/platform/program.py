"""Start of the platform's programs, configured by ``MULBERRYPORT_SETTINGS``.

The modules of the daemons are imported only after the standard library is patched, and
without the command line, so that a killed daemon restarts faster.
"""

import os
import sys
from collections.abc import Callable

__all__ = ["run_program"]

SETTINGS_VARIABLE = "MULBERRYPORT_SETTINGS"


def run_program(run: Callable[[str], None]) -> None:
    """Run a daemon; exit with status 1 if its settings are invalid.

    Parameters
    ----------
    run : callable
        Runs the daemon with the settings file at a path until a signal stops it.
    """
    from ..settings import InvalidFileError

    try:
        run(os.environ.get(SETTINGS_VARIABLE, ""))
    except InvalidFileError as error:
        for fault in error.diagnostics:
            print(fault, file=sys.stderr)
        sys.exit(1)
