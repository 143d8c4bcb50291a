"""Setup of eventlet on its asyncio hub, and calls between green threads and coroutines.

Green threads run the WSGI servers and the HTTP clients; coroutines run the
peer protocol. Both share one thread and one event loop.

A green thread must not close a socket that another one waits on: the waiting green
thread is resumed only when the file descriptor number is reused. Shutting down the
socket resumes it immediately.
"""

import asyncio
from collections.abc import Callable, Coroutine
from functools import partial
from typing import Any, TypeVar

import eventlet
import eventlet.event
import eventlet.hubs

from ..telemetry import define, log
from .green_sockets import patch_reads

__all__ = ["run_in_green_thread", "install_eventlet", "run_coroutine"]

GREEN_THREAD_FAILED = define(
    102,
    "green_thread_failed",
    "error",
    "A green thread raised an exception after another one closed its socket.",
)

T = TypeVar("T")


def install_eventlet() -> None:
    """Select the asyncio hub and patch the standard library.

    This must be called before modules that open sockets are imported. Further calls
    have no effect.
    """
    eventlet.hubs.use_hub("mulberryport.runtime.event_hub:Hub")
    eventlet.monkey_patch()
    patch_reads()
    hub = eventlet.hubs.get_hub()
    hub.close_one = partial(_resume_closed_waiter, type(hub).close_one, hub)


def _resume_closed_waiter(original: Callable[[Any], None], hub: Any) -> None:
    """Resume a green thread whose socket was closed by another one.

    An exception that the green thread raises is logged here; in eventlet it would end
    the main loop, and with it the process.
    """
    try:
        original(hub)
    except Exception as error:
        log(GREEN_THREAD_FAILED, error=repr(error))


def run_coroutine(coroutine: Coroutine[Any, Any, T], timeout: float | None) -> T:
    """Run a coroutine from a green thread and return its result.

    The coroutine is cancelled if the green thread is killed.

    Parameters
    ----------
    coroutine : coroutine
        The coroutine to run on the event loop.
    timeout : float or None
        Seconds after which the coroutine is cancelled; None for no limit.

    Raises
    ------
    TimeoutError
        The coroutine did not finish in time.
    """
    # eventlet.asyncio.spawn_for_awaitable is not used because it prints a traceback
    # for every exception, including those that the caller handles.
    task = asyncio.ensure_future(
        asyncio.wait_for(coroutine, timeout), loop=eventlet.hubs.get_hub().loop
    )
    finished = eventlet.event.Event()
    task.add_done_callback(lambda _: finished.send(True))
    try:
        finished.wait()
    except BaseException:
        task.cancel()
        raise
    return task.result()


async def run_in_green_thread(function: Callable[..., Any], *args: Any) -> Any:
    """Run a function in a green thread and await its result.

    A coroutine must not block on eventlet primitives itself, because it runs in the
    greenlet of the hub.
    """
    future = asyncio.get_running_loop().create_future()

    def run_function() -> None:
        try:
            result = function(*args)
        except Exception as error:
            if not future.done():
                future.set_exception(error)
        else:
            if not future.done():
                future.set_result(result)

    green_thread = eventlet.spawn(run_function)
    try:
        return await future
    except asyncio.CancelledError:
        green_thread.kill()
        raise
