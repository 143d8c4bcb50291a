"""Set-up of eventlet on its asyncio hub, and calls between the two.

Green threads run the WSGI servers and the HTTP clients; coroutines run the
peer protocol. Both share one thread and one event loop.
"""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

import eventlet
import eventlet.hubs

__all__ = ["await_green", "install", "run_coroutine"]


def install() -> None:
    """Select the asyncio hub and patch the standard library.

    Call this before importing modules that open sockets. Calling it again has
    no effect.
    """
    eventlet.hubs.use_hub("eventlet.hubs.asyncio")
    eventlet.monkey_patch()


def run_coroutine(coroutine: Coroutine[Any, Any, Any], timeout: float) -> Any:
    """Run a coroutine from a green thread and return its result.

    Parameters
    ----------
    coroutine : coroutine
        What to run on the event loop.
    timeout : float
        Seconds until the coroutine is cancelled.

    Raises
    ------
    TimeoutError
        The coroutine did not finish in time.
    """
    # The module imports the asyncio hub, which must be selected first.
    from eventlet.asyncio import spawn_for_awaitable

    return spawn_for_awaitable(asyncio.wait_for(coroutine, timeout)).wait()


async def await_green(function: Callable[..., Any], *args: Any) -> Any:
    """Run a function in a green thread and await its result.

    A coroutine must not block on green primitives itself, because it runs in
    the greenlet of the hub.
    """
    future = asyncio.get_running_loop().create_future()

    def run() -> None:
        try:
            result = function(*args)
        except Exception as error:
            if not future.done():
                future.set_exception(error)
        else:
            if not future.done():
                future.set_result(result)

    thread = eventlet.spawn(run)
    try:
        return await future
    except asyncio.CancelledError:
        thread.kill()
        raise
