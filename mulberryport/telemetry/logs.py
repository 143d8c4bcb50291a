"""JSON logs of numbered events, by structlog.

Each line holds the event's number and name, the hybrid clock, the id of the VM
and process, and the fields that the caller gives. The most recent entries are
also kept in memory for the operator port.
"""

import os
import sys
from collections import deque
from typing import Any

import orjson
import structlog

from .clock import process_clock
from .events import Event
from .metrics import EVENTS

__all__ = ["configure", "log", "recent"]

RECENT_ENTRIES = 2000

_recent: deque[dict[str, Any]] = deque(maxlen=RECENT_ENTRIES)
_identity: dict[str, object] = {"vm": "unconfigured", "pid": os.getpid()}
_levels = {"debug": 10, "info": 20, "warning": 30, "error": 40}
_threshold = _levels["warning"]
_logger: Any = None


def configure(vm: str, stream: Any = None, level: str = "info") -> None:
    """Start logging of this process.

    Parameters
    ----------
    vm : str
        Id of the VM, part of each line.
    stream : binary file or LogSink, optional
        Where lines go; standard error by default.
    level : {'debug', 'info', 'warning', 'error'}
        Events below this level are not logged.
    """
    global _logger, _threshold
    _identity.update(vm=vm, pid=os.getpid())
    _threshold = _levels[level]
    _logger = structlog.wrap_logger(
        structlog.BytesLogger(stream or sys.stderr.buffer),
        processors=[structlog.processors.JSONRenderer(serializer=_serialize)],
        wrapper_class=structlog.BoundLogger,
    )


def _serialize(entry: dict[str, Any], **_: object) -> bytes:
    return orjson.dumps(entry, default=str, option=orjson.OPT_NON_STR_KEYS)


def log(event: Event, **fields: object) -> None:
    """Log an event.

    Parameters
    ----------
    event : Event
        What happened.
    **fields : object
        Values for the line. Keys, bodies and other secrets must not be passed.
    """
    EVENTS.inc({"event": event.name, "level": event.level})
    if _levels[event.level] < _threshold:
        return
    entry = {
        "clock": process_clock.now(),
        **_identity,
        "number": event.number,
        "event": event.name,
        "level": event.level,
        **fields,
    }
    _recent.append(entry)
    if _logger is not None:
        values = {name: value for name, value in entry.items() if name != "event"}
        _logger.info(event.name, **values)


def recent() -> list[dict[str, Any]]:
    """Return the most recent entries, oldest first."""
    return list(_recent)
