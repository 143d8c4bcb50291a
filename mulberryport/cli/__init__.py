"""The ``mulberryport`` command line program.

Exit codes: 0 success, 1 refused or failed, 2 usage error, 3 outcome unknown.
"""

from ..runtime.hub import install_eventlet

__all__ = ["main"]


def main() -> None:
    """Run the program with the command line arguments of the process."""
    # Modules that open sockets must be imported after the standard library is patched.
    install_eventlet()
    from .program import run

    run()
