"""Settings of a daemon, read from INI and checked before anything starts."""

from .errors import FileFault, InvalidFileError
from .model import DaemonSettings, Seed, load_settings, parse_settings

__all__ = [
    "DaemonSettings",
    "FileFault",
    "InvalidFileError",
    "Seed",
    "load_settings",
    "parse_settings",
]
