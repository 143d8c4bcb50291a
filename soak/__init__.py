"""Randomised runs of a whole fleet under faults; see ``docs/PROMISES.md``.

``fleet_run`` starts the fleet and holds the state of a run. ``traffic`` sends requests
and steps and records their results, ``operator`` changes the tables and keys,
``faults`` injects faults at random, and ``checks`` compares the records of callers,
targets and the platform. ``python -m soak --seed N`` starts a run.
"""

# Configures eventlet before the modules of this package import it.
import mulberryport  # noqa: F401
