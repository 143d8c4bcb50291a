"""Parser of INI sections into attrs classes that reports every error at once.

A field declared with ``option(parse, accepted)`` is read from the key of the same
name; ``parse`` raises ``ValueError`` on text that it does not accept. Fields without
a default are required, and keys without a field are rejected.
"""

import configparser
import re
from collections.abc import Callable, Mapping
from typing import Any, TypeVar

import attrs

from .errors import Diagnostic

__all__ = [
    "address",
    "boolean",
    "build_section_record",
    "build_section_records",
    "choice",
    "identifier",
    "list_of",
    "nonempty_text",
    "number",
    "option",
    "read_sections",
    "url",
]

T = TypeVar("T")
Parser = Callable[[str], Any]

IDENTIFIER_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
ADDRESS_PATTERN = re.compile(r"(\d{1,3}(?:\.\d{1,3}){3}):(\d{1,5})")


def option(parse: Parser, accepted: str, **arguments: Any) -> Any:
    """Declare an attrs field that is parsed from an INI key.

    Parameters
    ----------
    parse : callable
        Converts the text to the value; raises ``ValueError`` on invalid text.
    accepted : str
        Description of the accepted values, for error messages.
    **arguments
        Passed to ``attrs.field``.
    """
    metadata = {"parse": parse, "accepted": accepted}
    return attrs.field(metadata=metadata, **arguments)


def nonempty_text(value: str) -> str:
    """Accept any non-empty text."""
    if not value:
        raise ValueError("is empty")
    return value


def identifier(value: str) -> str:
    """Accept up to 63 letters, digits, dots, hyphens and underscores.

    The first character must be a letter or a digit.
    """
    if not IDENTIFIER_PATTERN.fullmatch(value):
        raise ValueError(f"{value!r} is not an identifier")
    return value


def address(value: str) -> str:
    """Accept an IPv4 address and port.

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
    """Accept an HTTP or HTTPS URL with an IPv4 address and port and no path."""
    scheme, _, rest = value.partition("://")
    if scheme not in ("http", "https"):
        raise ValueError(f"{value!r} is not an HTTP URL")
    address(rest)
    return value


def boolean(value: str) -> bool:
    """Accept ``yes`` or ``no``."""
    if value not in ("yes", "no"):
        raise ValueError(f"{value!r} is neither yes nor no")
    return value == "yes"


def number(low: float, high: float, number_type: type = float) -> Parser:
    """Return a parser of numbers from ``low`` to ``high``, inclusive."""

    def parse(value: str) -> Any:
        try:
            result = number_type(value)
        except ValueError:
            raise ValueError(f"{value!r} is not a number") from None
        if not low <= result <= high:
            raise ValueError(f"{value} is out of range")
        return result

    return parse


def choice(*values: str) -> Parser:
    """Return a parser that accepts only the given values."""

    def parse(value: str) -> str:
        if value not in values:
            raise ValueError(f"{value!r} is not accepted")
        return value

    return parse


def list_of(parse_item: Parser) -> Parser:
    """Return a parser of lists separated by commas or newlines."""

    def parse(value: str) -> tuple[Any, ...]:
        items = [item.strip() for item in re.split(r"[,\n]", value)]
        return tuple(parse_item(item) for item in items if item)

    return parse


def read_sections(
    content: str, file: str
) -> tuple[dict[str, dict[str, str]], list[Diagnostic]]:
    """Parse INI text into sections of raw values.

    Returns
    -------
    sections : dict of dict of str
        Values by section and key; empty if the text is malformed.
    diagnostics : list of Diagnostic
        At most one, since parsing stops at the first syntax error.
    """
    parser = configparser.ConfigParser(
        interpolation=None, delimiters=("=",), default_section=""
    )
    parser.optionxform = str  # type: ignore[assignment,method-assign]
    try:
        parser.read_string(content, source=file)
    except configparser.Error as error:
        message = " ".join(str(error).split())
        return {}, [Diagnostic(file, "", "", message)]
    return {name: dict(parser.items(name)) for name in parser.sections()}, []


def build_section_records(
    content: str, file: str, classes: Mapping[str, type]
) -> tuple[dict[str, Any], list[Diagnostic]]:
    """Build one attrs instance from each section of INI text.

    Parameters
    ----------
    content, file : str
        The text, and the name of its source for diagnostics.
    classes : mapping of str to type
        Attrs class by section name.

    Returns
    -------
    parts : dict
        The instance by section name; None for a section with errors.
    diagnostics : list of Diagnostic
        Every error in the text.
    """
    sections, diagnostics = read_sections(content, file)
    parts = {}
    for name, cls in classes.items():
        parts[name], found = build_section_record(
            cls, sections.pop(name, {}), file=file, section=name
        )
        diagnostics.extend(found)
    for name in sections:
        accepted = ", ".join(classes)
        message = f"unknown section; accepted sections: {accepted}"
        diagnostics.append(Diagnostic(file, name, "", message))
    return parts, diagnostics


def build_section_record(
    cls: type[T], values: dict[str, str], *, file: str, section: str, **preset: Any
) -> tuple[T | None, list[Diagnostic]]:
    """Build an attrs instance from the keys of one section.

    Parameters
    ----------
    cls : type
        An attrs class whose fields are declared with ``option``.
    values : dict of str
        Raw text by key.
    file, section : str
        Location for diagnostics.
    **preset
        Values of fields that the section does not set.

    Returns
    -------
    result : object or None
        The instance; None if the section has errors.
    diagnostics : list of Diagnostic
        Every error in the section.
    """
    fields = {f.name: f for f in attrs.fields(cls) if "parse" in f.metadata}
    diagnostics = []
    result: dict[str, Any] = {}
    for key, value in values.items():
        name = key.replace("-", "_")
        if name not in fields or "_" in key:
            accepted = ", ".join(sorted(n.replace("_", "-") for n in fields))
            message = f"unknown key; accepted keys: {accepted}"
            diagnostics.append(Diagnostic(file, section, key, message))
            continue
        metadata = fields[name].metadata
        try:
            result[name] = metadata["parse"](value.strip())
        except ValueError as error:
            message = f"{error}; accepted: {metadata['accepted']}"
            diagnostics.append(Diagnostic(file, section, key, message))
    for name, attribute in fields.items():
        is_set = name.replace("_", "-") in values
        if attribute.default is attrs.NOTHING and not is_set:
            message = f"is missing; accepted: {attribute.metadata['accepted']}"
            diagnostics.append(
                Diagnostic(file, section, name.replace("_", "-"), message)
            )
    if diagnostics:
        return None, diagnostics
    return cls(**preset, **result), []
