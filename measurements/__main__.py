"""Runs one measurement: ``python -m measurements NAME [ARGUMENT ...]``.

Each public module of this package is a measurement; its function ``main`` takes the
remaining arguments.
"""

import importlib
import pkgutil
import sys

import measurements
from mulberryport.runtime.hub import install_eventlet


def run(arguments: list[str]) -> int:
    """Run the measurement named by the first argument and return the exit code."""
    names = [
        module.name
        for module in pkgutil.iter_modules(measurements.__path__)
        if not module.name.startswith("_")
    ]
    if not arguments or arguments[0] not in names:
        print(f"usage: bin/measure NAME; names: {', '.join(names)}", file=sys.stderr)
        return 2
    module = importlib.import_module(f"measurements.{arguments[0]}")
    return module.main(arguments[1:]) or 0


if __name__ == "__main__":
    install_eventlet()
    sys.exit(run(sys.argv[1:]))
