"""Registry of the numbered events.

Each package defines its events in the modules that log them, with numbers from its
own range; ``docs/EVENTS.md`` lists all events. Ranges: runtime 100, settings
and daemon 200, store and tables 300, leases 400, membership and peering 500,
gateway and quarantine 600, routing 700, targets 800, rollouts 900, weights 1000,
usage 1100, client and command line 1200, stand-ins 1300.
"""

from attrs import frozen

__all__ = ["Event", "defined_events", "define"]

LEVELS = ("debug", "info", "warning", "error")

_events_by_number: dict[int, "Event"] = {}


@frozen
class Event:
    """A type of log entry.

    Parameters
    ----------
    number : int
        Unique and never reused.
    name : str
        Identifier in log entries.
    level : {'debug', 'info', 'warning', 'error'}
        Severity; an ``error`` requires action by an operator.
    text : str
        Description of the event in one sentence, for the documentation.
    """

    number: int
    name: str
    level: str
    text: str


def define(number: int, name: str, level: str, text: str) -> Event:
    """Register an event and return it.

    Raises
    ------
    ValueError
        The number or the name belongs to another event, or the level is unknown.

    Examples
    --------
    >>> define(1, "example", "loud", "An example.")
    Traceback (most recent call last):
    ...
    ValueError: level 'loud' of event 1 is not one of debug, info, warning, error
    """
    if level not in LEVELS:
        raise ValueError(
            f"level {level!r} of event {number} is not one of {', '.join(LEVELS)}"
        )
    event = Event(number, name, level, text)
    for existing in _events_by_number.values():
        if existing != event and (existing.number == number or existing.name == name):
            raise ValueError(f"event {number} {name!r} conflicts with {existing}")
    _events_by_number[number] = event
    return event


def defined_events() -> tuple[Event, ...]:
    """Return the events of the modules imported so far, sorted by number."""
    return tuple(_events_by_number[number] for number in sorted(_events_by_number))
