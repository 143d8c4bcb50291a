"""Entry point of a storage daemon: ``python -m mulberryport.platform.storage_program``.

It is equivalent to ``mulberryport storage``.
"""

from ..runtime.hub import install_eventlet
from .program import run_program

__all__ = ["main", "run_storage"]


def run_storage(path: str) -> None:
    """Run a storage daemon until a signal stops it.

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
    from .storage import StorageDaemon, load_storage_settings

    StorageDaemon(load_storage_settings(path)).run()


def main() -> None:
    """Run the storage daemon; exit with status 1 if its settings are invalid."""
    run_program(run_storage)


if __name__ == "__main__":
    main()
