"""Numbers from outside, within bounds that every part of the program can hold.

Python reads digits of other scripts and integers of any size. Messages between daemons
hold 32 and 64 bits, and a socket refuses a port that is out of range.
"""

import ipaddress

__all__ = ["MAX_COUNT", "check_address", "check_count", "parse_count"]

MAX_COUNT = 2**31 - 1
# Longer texts are no number, and take long to convert.
MAX_DIGITS = 10
MAX_PORT = 65_535


def parse_count(text: str) -> int | None:
    """Return the whole number that a header holds, or None if it holds none.

    Examples
    --------
    >>> parse_count(" 12 "), parse_count("-1"), parse_count("9" * 5000)
    (12, None, None)
    """
    text = text.strip()
    if not (text.isascii() and text.isdigit() and len(text) <= MAX_DIGITS):
        return None
    count = int(text)
    return count if count <= MAX_COUNT else None


def check_count(value: object, name: str) -> int:
    """Return a whole number of a JSON value.

    Raises
    ------
    ValueError
        It is not a whole number from 0 to ``MAX_COUNT``.
    """
    if type(value) is not int or not 0 <= value <= MAX_COUNT:
        raise ValueError(f"invalid {name} {str(value)[:40]!r}")
    return value


def check_address(address: str) -> str:
    """Return an address, if it is an IP address and a port that can be connected to.

    A host name is refused: looking it up would block the process.

    Raises
    ------
    ValueError
        It is not.

    Examples
    --------
    >>> check_address("10.0.0.1:80")
    '10.0.0.1:80'
    """
    host, _, port = address.rpartition(":")
    number = parse_count(port)
    if number is None or port != port.strip() or not 0 < number <= MAX_PORT:
        raise ValueError(f"invalid port in the address {address[:80]!r}")
    ipaddress.ip_address(host)
    return address
