"""Outcomes of a call to an outside system.

A call to the store, a target or any other outside system ends in one of
three ways: it was done, it was certainly not done, or the caller cannot
know. The third case is a type of its own, because retrying it may run an
operation twice and reporting it as a failure may be false.
"""

from typing import Generic, TypeVar

from attrs import frozen

__all__ = ["Done", "NotDone", "Outcome", "Unknown"]

T = TypeVar("T")


@frozen
class Done(Generic[T]):
    """The call took effect.

    Parameters
    ----------
    value : object
        What the call returned.

    Examples
    --------
    >>> Done(3).value
    3
    """

    value: T


@frozen
class NotDone:
    """The call certainly had no effect; repeating it is safe.

    Parameters
    ----------
    reason : str
        The evidence, for logs and error messages.
    """

    reason: str


@frozen
class Unknown:
    """The call may or may not have taken effect.

    Parameters
    ----------
    reason : str
        Why no answer was obtained, for logs and error messages.
    """

    reason: str


Outcome = Done[T] | NotDone | Unknown
