"""The tables as INI text, which operators keep under version control."""

from attrs import asdict, evolve, fields

from ..settings.errors import FileFault, InvalidFileError
from ..settings.ini import identifier, read_sections, structure_section
from .checks import find_faults
from .model import NAME, Pool, Route, Tables, TargetSpec, Workspace

__all__ = ["parse_tables", "render_tables", "with_keys_of"]

SECTION_TYPES = {"workspace": Workspace, "route": Route, "pool": Pool}


def parse_tables(content: str, file: str) -> Tables:
    """Read tables from INI text.

    Parameters
    ----------
    content : str
        Sections ``[workspace NAME]``, ``[route NAME]`` and ``[pool NAME]``.
    file : str
        Name of the source, for faults.

    Returns
    -------
    Tables
        Without keys, which are not part of the text.

    Raises
    ------
    InvalidFileError
        An exception group with every fault of the text.

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
    sections, faults = read_sections(content, file)
    found: dict[str, dict] = {kind: {} for kind in SECTION_TYPES}
    for section, values in sections.items():
        kind, _, name = section.partition(" ")
        if kind not in SECTION_TYPES or not name.strip():
            message = "accepted: [workspace NAME], [route NAME] or [pool NAME]"
            faults.append(FileFault(file, section, "", message))
            continue
        name = name.strip()
        try:
            identifier(name)
        except ValueError as error:
            faults.append(FileFault(file, section, "", f"{error}; accepted: {NAME}"))
            continue
        record, section_faults = structure_section(
            SECTION_TYPES[kind], values, file=file, section=section, name=name
        )
        faults.extend(section_faults)
        if name in found[kind]:
            faults.append(FileFault(file, section, "", "is defined twice"))
        found[kind][name] = record
    complete = {
        kind: {name: record for name, record in records.items() if record is not None}
        for kind, records in found.items()
    }
    tables = Tables(complete["workspace"], complete["route"], complete["pool"])
    # A name whose section has faults of its own exists; saying that it is
    # missing as well would mislead.
    names = {kind: set(records) for kind, records in found.items()}
    faults.extend(find_faults(tables, file, names))
    if faults:
        raise InvalidFileError.of(faults)
    return tables


def render_tables(tables: Tables) -> str:
    """Return the tables as INI text that ``parse_tables`` reads; keys are left out."""
    records = [
        *(("workspace", record) for record in tables.workspaces.values()),
        *(("route", record) for record in tables.routes.values()),
        *(("pool", record) for record in tables.pools.values()),
    ]
    return "\n".join(_render(kind, record) for kind, record in records)


def _render(kind: str, record: Workspace | Route | Pool) -> str:
    # Other fields are set by adapters of outside configurations only.
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
    """Return tables with the keys of other tables, for workspaces that remain."""
    keys = {
        digest: record
        for digest, record in current.keys.items()
        if record.workspace in tables.workspaces
    }
    return evolve(tables, keys=keys)
