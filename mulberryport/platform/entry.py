"""Runs an entry daemon with the settings file that ``MULBERRYPORT_SETTINGS`` names.

Run as ``python -m mulberryport.platform.entry``. It does what ``mulberryport entry``
does, but loads nothing of the other commands, so that a daemon that was killed serves
again sooner.
"""

import os
import sys

from ..runtime.hub import install_eventlet

__all__ = ["main", "run_entry"]

SETTINGS_VARIABLE = "MULBERRYPORT_SETTINGS"


def run_entry(path: str) -> None:
    """Run an entry daemon until a signal asks for a stop.

    Parameters
    ----------
    path : str
        Its settings file.

    Raises
    ------
    InvalidFileError
        The file cannot be read or has faults.
    """
    # Modules that open sockets are imported after the library was patched.
    install_eventlet()
    from .daemon import EntryDaemon
    from .settings import load_entry_settings

    EntryDaemon(load_entry_settings(path), path).run()


def main() -> None:
    """Run the program of the process; exit with 1 if its settings have faults."""
    from ..settings import InvalidFileError

    try:
        run_entry(os.environ.get(SETTINGS_VARIABLE, ""))
    except InvalidFileError as error:
        for fault in error.diagnostics:
            print(fault, file=sys.stderr)
        sys.exit(1)


if __name__ == "__main__":
    main()
