"""Entry point of an entry daemon, configured by ``MULBERRYPORT_SETTINGS``.

Run as ``python -m mulberryport.platform.entry``. It is equivalent to ``mulberryport
entry`` but does not import the other commands, so that a killed daemon restarts
faster.
"""

import os
import sys

from ..runtime.hub import install_eventlet

__all__ = ["main", "run_entry"]

SETTINGS_VARIABLE = "MULBERRYPORT_SETTINGS"


def run_entry(path: str) -> None:
    """Run an entry daemon until a signal stops it.

    Parameters
    ----------
    path : str
        Path of its settings file.

    Raises
    ------
    InvalidFileError
        The file cannot be read or is invalid.
    """
    # Modules that open sockets must be imported after the standard library is patched.
    install_eventlet()
    from .daemon import EntryDaemon
    from .settings import load_entry_settings

    EntryDaemon(load_entry_settings(path), path).run()


def main() -> None:
    """Run the entry daemon; exit with status 1 if its settings are invalid."""
    from ..settings import InvalidFileError

    try:
        run_entry(os.environ.get(SETTINGS_VARIABLE, ""))
    except InvalidFileError as error:
        for fault in error.diagnostics:
            print(fault, file=sys.stderr)
        sys.exit(1)


if __name__ == "__main__":
    main()
