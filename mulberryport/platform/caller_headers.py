"""Headers that callers choose, of plain requests and of items of batch jobs.

Callers name headers of their own, and targets receive these beside those that this
system sets. What may pass is decided here for all requests: no header that frames a
message, concerns one connection, carries a key, or has a meaning that only this system
gives it.
"""

import re
from collections.abc import Callable, Iterable

from ..gateway.headers import end_to_end
from . import names

__all__ = [
    "check_field_value",
    "check_header",
    "forwardable_headers",
    "forwardable_item_headers",
]

# Set by this system, or void beyond the hop from the caller.
RESERVED_HEADERS = frozenset(
    name.lower()
    for name in (
        names.KEY,
        names.TENANT,
        names.DEADLINE,
        names.EXPECT_INSTANCE,
        names.EXPECT_VERSION,
        # These make a target use memory of other requests, or call other addresses.
        names.KV_BACKUP,
        names.KV_FETCH,
        names.KV_FROM,
        names.KV_HOLD,
        "Content-Length",
        "Expect",
    )
)
PLAIN_RESERVED_HEADERS = RESERVED_HEADERS | {names.URGENCY.lower()}
# An item's request is made here, with the id of the item and the host of its job.
ITEM_RESERVED_HEADERS = RESERVED_HEADERS | {
    "host",
    names.REQUEST_ID.lower(),
    names.LAST_EVENT_ID.lower(),
    names.RESUMES.lower(),
}
# RFC 9110, sections 5.1 and 5.5; other names and values cannot be sent.
FIELD_NAME = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
FIELD_VALUE = re.compile(r"[\t\x20-\x7e\x80-\xff]*")
MAX_SHOWN_CHARS = 40

Headers = Iterable[tuple[str, str]]


def forwardable_headers(
    headers: Headers, is_secret: Callable[[str], bool]
) -> list[tuple[str, str]]:
    """Return the headers of a plain request that targets receive.

    Parameters
    ----------
    headers : iterable of (str, str)
        Headers of the caller.
    is_secret : callable
        Returns whether a text contains a key.

    Examples
    --------
    >>> forwardable_headers([("x-tenant", "boats"), ("Accept", "*/*")], "k".__eq__)
    [('Accept', '*/*')]
    """
    return [
        (name, value)
        for name, value in _without(headers, PLAIN_RESERVED_HEADERS)
        if not (is_secret(name) or is_secret(value))
    ]


def forwardable_item_headers(
    headers: Headers, is_secret: Callable[[str], bool] = lambda text: False
) -> list[tuple[str, str]]:
    """Return the headers of an item that its engine receives.

    This is applied to what is stored, and again to what is sent, since an earlier build
    may have stored a job.

    Parameters
    ----------
    headers : iterable of (str, str)
        Headers of the item.
    is_secret : callable
        Returns whether a text contains a key. It is known only at the submission.

    Examples
    --------
    >>> forwardable_item_headers([("Content-Length", "0"), ("X-Model", "m")])
    [('X-Model', 'm')]
    """
    return [
        (name, value)
        for name, value in _without(headers, ITEM_RESERVED_HEADERS)
        # Targets may read an underscore in a name like a hyphen.
        if "_" not in name
        and _can_be_sent(name, value)
        and not (is_secret(name) or is_secret(value))
    ]


def check_header(name: str, value: str) -> None:
    """Check that a header can be sent.

    Raises
    ------
    ValueError
        Its name or value cannot be a header field.
    """
    if not _can_be_sent(name, value):
        raise ValueError(f"the header {name[:MAX_SHOWN_CHARS]!r} cannot be sent")


def check_field_value(value: str, name: str) -> str:
    """Return a value that is sent in a header.

    Raises
    ------
    ValueError
        It cannot be the value of a header field.
    """
    if not FIELD_VALUE.fullmatch(value) or value != value.strip():
        raise ValueError(f"the {name} {value[:MAX_SHOWN_CHARS]!r} cannot be sent")
    return value


def _without(headers: Headers, reserved: frozenset[str]) -> list[tuple[str, str]]:
    return [
        (name, value)
        for name, value in end_to_end(list(headers))
        if name.lower() not in reserved
    ]


def _can_be_sent(name: str, value: str) -> bool:
    return bool(FIELD_NAME.fullmatch(name) and FIELD_VALUE.fullmatch(value))
