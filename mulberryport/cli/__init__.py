"""The ``mulberryport`` program.

Exit codes: 0 done, 1 refused or failed, 2 wrong usage, 3 outcome unknown.
"""

from ..runtime.hub import install_eventlet

__all__ = ["main"]


def main() -> None:
    """Run the program with the arguments of the process."""
    # Modules that open sockets are imported after the library was patched.
    install_eventlet()
    from .program import run

    run()
