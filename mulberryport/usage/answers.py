"""Acts that must come before the last byte of an answer."""

from collections.abc import Callable, Iterable, Iterator

__all__ = ["before_last_byte"]


def before_last_byte(
    parts: Iterable[bytes], length: int | None, act: Callable[[], object]
) -> Iterator[bytes]:
    """Yield the parts of an answer and act once before its last byte.

    Parameters
    ----------
    parts : iterable of bytes
        The body as it arrives; nothing but its last byte is held back.
    length : int or None
        Bytes of the body. Without it the end marker, which follows the last part,
        is the last of the answer.
    act : callable
        Not called if the body fails before its end.

    Examples
    --------
    >>> seen = []
    >>> for part in before_last_byte([b"a", b"bc"], 3, lambda: seen.append("act")):
    ...     seen.append(part)
    >>> seen
    [b'a', b'b', 'act', b'c']
    """
    sent, done = 0, False
    for part in parts:
        sent += len(part)
        if done or length is None or sent < length:
            yield part
            continue
        # The first bytes need not wait; only the very last does.
        if part[:-1]:
            yield part[:-1]
        done = True
        act()
        yield part[-1:]
    if not done:
        act()
