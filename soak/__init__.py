"""Randomised runs of a whole fleet under faults; see ``docs/PROMISES.md``.

``traffic`` sends requests and steps and records what callers saw, ``operator`` edits
the tables and keys, ``faults`` draws faults at random, and ``checks`` compares what
callers, targets and the platform saw. ``python -m soak --seed N`` runs it.
"""

# Configures eventlet, which the modules of this package import.
import mulberryport  # noqa: F401
