"""Assembly of one daemon."""

from .process import Daemon

__all__ = ["Daemon"]
