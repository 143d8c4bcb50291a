"""Outcomes of a call to an external system.

A call to the store, a target or any other external system has one of three outcomes:
it took effect, it certainly had no effect, or the caller cannot know. The third case is
a separate type, because a retry may execute the operation twice and reporting a failure
may be wrong.
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
        Why the call had no effect, for logs and error messages.
    """

    reason: str


@frozen
class Unknown:
    """The call may or may not have taken effect.

    Parameters
    ----------
    reason : str
        Why there is no answer, for logs and error messages.
    """

    reason: str


Outcome = Done[T] | NotDone | Unknown
