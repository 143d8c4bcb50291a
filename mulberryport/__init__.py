"""A rollout service between trainers, live callers and targets."""

__version__ = "0.1.0"

__all__ = ["__version__"]
