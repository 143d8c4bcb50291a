"""Entry point of an entry daemon: ``python -m mulberryport.platform.entry``.

It is equivalent to ``mulberryport entry``.
"""

from ..runtime.hub import install_eventlet
from .program import run_program

__all__ = ["main", "run_entry"]


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
    install_eventlet()
    from .daemon import EntryDaemon
    from .settings import load_entry_settings

    EntryDaemon(load_entry_settings(path), path).run()


def main() -> None:
    """Run the entry daemon; exit with status 1 if its settings are invalid."""
    run_program(run_entry)


if __name__ == "__main__":
    main()
