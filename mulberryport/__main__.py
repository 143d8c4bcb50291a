"""Runs the command line as ``python -m mulberryport``."""

from .cli import main

if __name__ == "__main__":
    main()
