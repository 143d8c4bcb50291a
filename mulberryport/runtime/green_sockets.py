"""Reads from green sockets that share the processor and report resets.

eventlet returns the value of an end of the stream for a connection that was reset. A
response without a length then looks complete although it was cut off.
"""

import errno
import functools
import os
from collections.abc import Callable
from typing import Any

from eventlet.greenio import GreenSocket

from .fairness import yield_if_due

__all__ = ["patch_reads"]

# Takes the place of the empty value that eventlet returns for a reset.
_RESET = object()


def patch_reads() -> None:
    """Make reads from green sockets call ``yield_if_due`` and raise resets.

    A read from a connection that was reset raises ``ConnectionResetError``; only a
    regular end of the stream gives an empty value. Further calls have no effect.
    """
    if not hasattr(GreenSocket._recv_loop, "__wrapped__"):
        GreenSocket._recv_loop = _patched(GreenSocket._recv_loop)


def _patched(receive: Callable[..., Any]) -> Callable[..., Any]:
    @functools.wraps(receive)
    def receive_or_raise(
        green_socket: Any, receive_once: Callable[..., Any], _empty: Any, *args: Any
    ) -> Any:
        if not green_socket.act_non_blocking:
            yield_if_due()
        received = receive(green_socket, receive_once, _RESET, *args)
        if received is _RESET:
            raise ConnectionResetError(errno.ECONNRESET, os.strerror(errno.ECONNRESET))
        return received

    return receive_or_raise
