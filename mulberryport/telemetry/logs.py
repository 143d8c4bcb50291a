"""JSON logs of numbered events, based on structlog.

Each line contains the number and name of the event, a timestamp of the hybrid logical
clock, the ids of the VM and the process, and the fields that the caller passes. The
most recent entries are also kept in memory for the operator port.
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

__all__ = ["configure_logging", "log", "recent_entries"]

MAX_RECENT_ENTRIES = 2000

_recent_entries: deque[dict[str, Any]] = deque(maxlen=MAX_RECENT_ENTRIES)
_process_fields: dict[str, object] = {"vm": "unconfigured", "pid": os.getpid()}
_severity_by_level = {"debug": 10, "info": 20, "warning": 30, "error": 40}
_min_severity = _severity_by_level["warning"]
_logger: Any = None


def configure_logging(vm: str, stream: Any = None, level: str = "info") -> None:
    """Configure the logging of this process.

    Parameters
    ----------
    vm : str
        Id of the VM, which each line contains.
    stream : binary file or LogSink, optional
        Destination of the lines; standard error by default.
    level : {'debug', 'info', 'warning', 'error'}
        Events below this level are not logged.
    """
    global _logger, _min_severity
    _process_fields.update(vm=vm, pid=os.getpid())
    _min_severity = _severity_by_level[level]
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
        The event to log.
    **fields : object
        Further fields of the line. They must not contain keys, bodies or other secrets.
    """
    EVENTS.inc({"event": event.name, "level": event.level})
    if _severity_by_level[event.level] < _min_severity:
        return
    entry = {
        "clock": process_clock.now(),
        **_process_fields,
        "number": event.number,
        "event": event.name,
        "level": event.level,
        **fields,
    }
    _recent_entries.append(entry)
    if _logger is not None:
        fields_without_event = {
            name: value for name, value in entry.items() if name != "event"
        }
        _logger.info(event.name, **fields_without_event)


def recent_entries() -> list[dict[str, Any]]:
    """Return the most recent log entries, oldest first."""
    return list(_recent_entries)
