"""Generator of the documentation page that lists the numbered events.

``python -m mulberryport.telemetry.catalogue`` prints the page; a test compares
it with ``docs/EVENTS.md``.
"""

import importlib
import pkgutil

import mulberryport

from .events import defined_events

__all__ = ["render_catalogue"]

PAGE_HEADER = """\
# Events

Every log line contains the number and name of one of these events. Numbers are
never reused. An event of level `error` requires action by an operator.

| number | name | level | meaning |
|---|---|---|---|
"""


def render_catalogue() -> str:
    """Return the page that lists all events of the package."""
    for module in pkgutil.walk_packages(mulberryport.__path__, "mulberryport."):
        if ".tests" not in module.name and not module.name.endswith("__main__"):
            importlib.import_module(module.name)
    rows = [
        f"| {event.number} | {event.name} | {event.level} | {event.text} |\n"
        for event in defined_events()
        if event.number >= 100
    ]
    return PAGE_HEADER + "".join(rows)


if __name__ == "__main__":
    print(render_catalogue(), end="")
