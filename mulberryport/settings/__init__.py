"""Daemon settings, parsed from INI and validated before the daemon starts."""

from .errors import Diagnostic, InvalidFileError
from .model import DaemonSettings, Seed, load_settings, parse_settings

__all__ = [
    "DaemonSettings",
    "Diagnostic",
    "InvalidFileError",
    "Seed",
    "load_settings",
    "parse_settings",
]
