"""Definition of the numbered events.

Each package defines its events in the module that logs them, with numbers from
its own range; ``docs/EVENTS.md`` lists them all. Ranges: runtime 100, settings
and daemon 200, store and tables 300, leases 400, membership and peering 500,
gateway 600, routing 700, targets 800, rollouts 900, weights 1000, usage 1100,
client and command line 1200, stand-ins 1300.
"""

from attrs import frozen

__all__ = ["Event", "catalogue", "define"]

LEVELS = ("debug", "info", "warning", "error")

_events: dict[int, "Event"] = {}


@frozen
class Event:
    """One kind of log entry.

    Parameters
    ----------
    number : int
        Unique and never reused.
    name : str
        Identifier in logs.
    level : {'debug', 'info', 'warning', 'error'}
        Severity; an ``error`` asks for an operator.
    text : str
        What happened, one sentence, for the catalogue.
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
        The number or the name is taken by another event, or the level is unknown.

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
    for other in _events.values():
        if other != event and (other.number == number or other.name == name):
            raise ValueError(f"event {number} {name!r} clashes with {other}")
    _events[number] = event
    return event


def catalogue() -> tuple[Event, ...]:
    """Return all events defined by the modules imported so far, by number."""
    return tuple(_events[number] for number in sorted(_events))
