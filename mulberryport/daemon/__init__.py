"""Assembly of a daemon from its components, with its heartbeats and operator port."""

from .process import Daemon

__all__ = ["Daemon"]
