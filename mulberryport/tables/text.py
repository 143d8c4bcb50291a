"""INI text form of the tables, which operators keep under version control."""

from attrs import asdict, evolve, fields

from ..settings.errors import Diagnostic, InvalidFileError
from ..settings.ini import build_section_record, identifier, read_sections
from .model import NAME_FORMAT, Pool, Route, Tables, TargetSpec, Workspace
from .validation import validate_tables

__all__ = ["parse_tables", "render_tables", "with_keys_of"]

SECTION_TYPES = {"workspace": Workspace, "route": Route, "pool": Pool}


def parse_tables(content: str, file: str) -> Tables:
    """Parse tables from INI text.

    Parameters
    ----------
    content : str
        Sections ``[workspace NAME]``, ``[route NAME]`` and ``[pool NAME]``.
    file : str
        Name of the source, for the diagnostics.

    Returns
    -------
    Tables
        The tables without API keys, which are not part of the text.

    Raises
    ------
    InvalidFileError
        The text is invalid; the exception group holds every error.

    Examples
    --------
    >>> tables = parse_tables('''
    ... [workspace roads]
    ... [route filing]
    ... path = /filing/
    ... pool = desk
    ... workspaces = roads
    ... [pool desk]
    ... kind = plain-service
    ... targets = desk1 127.0.0.1:9101 rosario
    ... ''', "tables.ini")
    >>> tables.routes["filing"].pool
    'desk'
    """
    sections, diagnostics = read_sections(content, file)
    records_by_kind: dict[str, dict] = {kind: {} for kind in SECTION_TYPES}
    for section, values in sections.items():
        kind, _, name = section.partition(" ")
        if kind not in SECTION_TYPES or not name.strip():
            message = "accepted: [workspace NAME], [route NAME] or [pool NAME]"
            diagnostics.append(Diagnostic(file, section, "", message))
            continue
        name = name.strip()
        try:
            identifier(name)
        except ValueError as error:
            diagnostics.append(
                Diagnostic(file, section, "", f"{error}; accepted: {NAME_FORMAT}")
            )
            continue
        record, section_diagnostics = build_section_record(
            SECTION_TYPES[kind], values, file=file, section=section, name=name
        )
        diagnostics.extend(section_diagnostics)
        if name in records_by_kind[kind]:
            diagnostics.append(Diagnostic(file, section, "", "is defined twice"))
        records_by_kind[kind][name] = record
    valid_records = {
        kind: {name: record for name, record in records.items() if record is not None}
        for kind, records in records_by_kind.items()
    }
    tables = Tables(
        valid_records["workspace"], valid_records["route"], valid_records["pool"]
    )
    # Names of invalid sections count as existing, so that references to them are not
    # reported as missing too.
    names = {kind: set(records) for kind, records in records_by_kind.items()}
    diagnostics.extend(validate_tables(tables, file, names))
    if diagnostics:
        raise InvalidFileError.of(diagnostics)
    return tables


def render_tables(tables: Tables) -> str:
    """Return the tables as INI text for ``parse_tables``, without API keys."""
    records = [
        *(("workspace", record) for record in tables.workspaces.values()),
        *(("route", record) for record in tables.routes.values()),
        *(("pool", record) for record in tables.pools.values()),
    ]
    return "\n".join(_render_section(kind, record) for kind, record in records)


def _render_section(kind: str, record: Workspace | Route | Pool) -> str:
    # Fields without a parser are set only from external configurations.
    defaults = {
        f.name: f.default for f in fields(type(record)) if "parse" in f.metadata
    }
    lines = [f"[{kind} {record.name}]"]
    for name, value in asdict(record, recurse=False).items():
        if name in defaults and value != defaults[name]:
            lines.append(f"{name.replace('_', '-')} = {_render_value(value)}")
    return "\n".join(lines) + "\n"


def _render_value(value: object) -> str:
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, tuple) and value and isinstance(value[0], TargetSpec):
        return "".join(f"\n    {_render_target(target)}" for target in value)
    if isinstance(value, tuple):
        return ", ".join(str(item) for item in value)
    return str(value)


def _render_target(target: TargetSpec) -> str:
    words = [target.id, target.address, target.zone]
    words.append("cheap" if target.cheap else "on-demand")
    words.append("fencing" if target.checks_fencing else "no-fencing")
    return " ".join(words)


def with_keys_of(tables: Tables, current: Tables) -> Tables:
    """Return ``tables`` with the keys of ``current`` whose workspaces still exist."""
    keys = {
        digest: record
        for digest, record in current.keys.items()
        if record.workspace in tables.workspaces
    }
    return evolve(tables, keys=keys)
