"""Entry point of the command line for ``python -m mulberryport``."""

from .cli import main

if __name__ == "__main__":
    main()
