"""Running a callback before the last byte of a response body."""

from collections.abc import Callable, Iterable, Iterator

__all__ = ["call_before_last_byte"]


def call_before_last_byte(
    parts: Iterable[bytes], length: int | None, action: Callable[[], object]
) -> Iterator[bytes]:
    """Yield the parts of a body and call a function once before its last byte.

    Parameters
    ----------
    parts : iterable of bytes
        Body as it arrives; only its last byte is delayed.
    length : int or None
        Body length in bytes. If unknown, the function is called after the last part
        and before the end marker of the transfer.
    action : callable
        Function to call; it is not called if the body fails before its end.

    Examples
    --------
    >>> seen = []
    >>> for part in call_before_last_byte([b"a", b"bc"], 3, lambda: seen.append("act")):
    ...     seen.append(part)
    >>> seen
    [b'a', b'b', 'act', b'c']
    """
    sent_bytes, called = 0, False
    for part in parts:
        sent_bytes += len(part)
        if called or length is None or sent_bytes < length:
            yield part
            continue
        # Only the last byte has to wait for the call.
        if part[:-1]:
            yield part[:-1]
        called = True
        action()
        yield part[-1:]
    if not called:
        action()
