"""INI sections turned into attrs classes, with every fault reported.

An attrs field says how its text is read by ``option(parse, accepted)``; the
parse function raises ``ValueError`` on text that it does not accept. Fields
without a default are required, and keys without a field are refused.
"""

import configparser
import re
from collections.abc import Callable, Mapping
from typing import Any, TypeVar

import attrs

from .errors import FileFault

__all__ = [
    "address",
    "choice",
    "identifier",
    "listing",
    "number",
    "option",
    "read_sections",
    "structure_section",
    "structure_sections",
    "switch",
    "text",
    "url",
]

T = TypeVar("T")
Parser = Callable[[str], Any]

IDENTIFIER_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
ADDRESS_PATTERN = re.compile(r"(\d{1,3}(?:\.\d{1,3}){3}):(\d{1,5})")


def option(parse: Parser, accepted: str, **arguments: Any) -> Any:
    """Return an attrs field that is read from INI text.

    Parameters
    ----------
    parse : callable
        Turns text into the value, or raises ``ValueError``.
    accepted : str
        What is accepted, for error messages.
    **arguments
        Passed to ``attrs.field``.
    """
    metadata = {"parse": parse, "accepted": accepted}
    return attrs.field(metadata=metadata, **arguments)


def text(value: str) -> str:
    """Accept any text that is not empty."""
    if not value:
        raise ValueError("is empty")
    return value


def identifier(value: str) -> str:
    """Accept letters, digits, dots, hyphens and underscores, at most 63."""
    if not IDENTIFIER_PATTERN.fullmatch(value):
        raise ValueError(f"{value!r} is not an identifier")
    return value


def address(value: str) -> str:
    """Accept an IPv4 address and a port.

    Examples
    --------
    >>> address("127.0.0.1:8080")
    '127.0.0.1:8080'
    >>> address("localhost:8080")
    Traceback (most recent call last):
    ...
    ValueError: 'localhost:8080' is not an address
    """
    match = ADDRESS_PATTERN.fullmatch(value)
    if (
        match is None
        or any(int(part) > 255 for part in match[1].split("."))
        or not 0 < int(match[2]) < 65536
    ):
        raise ValueError(f"{value!r} is not an address")
    return value


def url(value: str) -> str:
    """Accept the URL of an HTTP service by IP number, without a path."""
    scheme, _, rest = value.partition("://")
    if scheme not in ("http", "https"):
        raise ValueError(f"{value!r} is not an HTTP URL")
    address(rest)
    return value


def switch(value: str) -> bool:
    """Accept ``yes`` or ``no``."""
    if value not in ("yes", "no"):
        raise ValueError(f"{value!r} is neither yes nor no")
    return value == "yes"


def number(low: float, high: float, kind: type = float) -> Parser:
    """Return a parser of numbers within bounds, both included."""

    def parse(value: str) -> Any:
        try:
            result = kind(value)
        except ValueError:
            raise ValueError(f"{value!r} is not a number") from None
        if not low <= result <= high:
            raise ValueError(f"{value} is out of bounds")
        return result

    return parse


def choice(*values: str) -> Parser:
    """Return a parser that accepts one of several words."""

    def parse(value: str) -> str:
        if value not in values:
            raise ValueError(f"{value!r} is not accepted")
        return value

    return parse


def listing(parse_item: Parser) -> Parser:
    """Return a parser of lists separated by commas or line ends."""

    def parse(value: str) -> tuple[Any, ...]:
        items = [item.strip() for item in re.split(r"[,\n]", value)]
        return tuple(parse_item(item) for item in items if item)

    return parse


def read_sections(
    content: str, file: str
) -> tuple[dict[str, dict[str, str]], list[FileFault]]:
    """Split INI text into sections.

    Returns
    -------
    sections : dict of dict of str
        Values by section and key. Empty if the text is malformed.
    faults : list of FileFault
        At most one, since a malformed text cannot be read further.
    """
    parser = configparser.ConfigParser(
        interpolation=None, delimiters=("=",), default_section=""
    )
    parser.optionxform = str  # type: ignore[assignment,method-assign]
    try:
        parser.read_string(content, source=file)
    except configparser.Error as error:
        message = " ".join(str(error).split())
        return {}, [FileFault(file, "", "", message)]
    return {name: dict(parser.items(name)) for name in parser.sections()}, []


def structure_sections(
    content: str, file: str, classes: Mapping[str, type]
) -> tuple[dict[str, Any], list[FileFault]]:
    """Build one attrs object from each section of INI text.

    Parameters
    ----------
    content, file : str
        The text, and the name of its source for faults.
    classes : mapping of str to type
        Attrs class of each section.

    Returns
    -------
    parts : dict
        The object of each section; None if it has faults.
    faults : list of FileFault
        Every fault of the text.
    """
    sections, faults = read_sections(content, file)
    parts = {}
    for name, cls in classes.items():
        parts[name], found = structure_section(
            cls, sections.pop(name, {}), file=file, section=name
        )
        faults.extend(found)
    for name in sections:
        accepted = ", ".join(classes)
        message = f"unknown section; accepted sections: {accepted}"
        faults.append(FileFault(file, name, "", message))
    return parts, faults


def structure_section(
    cls: type[T], values: dict[str, str], *, file: str, section: str, **given: Any
) -> tuple[T | None, list[FileFault]]:
    """Build an attrs object from the keys of a section.

    Parameters
    ----------
    cls : type
        An attrs class whose fields were made by ``option``.
    values : dict of str
        Text by key.
    file, section : str
        Place for faults.
    **given
        Field values that do not come from the section.

    Returns
    -------
    result : object or None
        None if there are faults.
    faults : list of FileFault
        Every fault of the section.
    """
    fields = {f.name: f for f in attrs.fields(cls) if "parse" in f.metadata}
    faults = []
    result: dict[str, Any] = {}
    for key, value in values.items():
        name = key.replace("-", "_")
        if name not in fields or "_" in key:
            accepted = ", ".join(sorted(n.replace("_", "-") for n in fields))
            message = f"unknown key; accepted keys: {accepted}"
            faults.append(FileFault(file, section, key, message))
            continue
        metadata = fields[name].metadata
        try:
            result[name] = metadata["parse"](value.strip())
        except ValueError as error:
            message = f"{error}; accepted: {metadata['accepted']}"
            faults.append(FileFault(file, section, key, message))
    for name, attribute in fields.items():
        present = name.replace("_", "-") in values
        if attribute.default is attrs.NOTHING and not present:
            message = f"is missing; accepted: {attribute.metadata['accepted']}"
            faults.append(FileFault(file, section, name.replace("_", "-"), message))
    if faults:
        return None, faults
    return cls(**given, **result), []
