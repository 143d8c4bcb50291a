"""Settings of a daemon on the platform.

They are the INI text that the platform renders from ``deploy/entry.ini``, or from
``deploy/storage.ini`` for the storage VMs.
"""

from collections.abc import Mapping
from pathlib import Path
from typing import Any

from attrs import field, frozen

from ..settings import InvalidFileError, Seed
from ..settings.errors import Diagnostic
from ..settings.ini import (
    address,
    build_section_records,
    choice,
    identifier,
    list_of,
    number,
    option,
)
from ..settings.model import ADDRESS_FORMAT, NAME_FORMAT, parse_seed

__all__ = [
    "EntrySettings",
    "load_entry_settings",
    "parse_entry_settings",
    "read_settings",
]

SECONDS = "seconds from 0 to 3600"


@frozen(kw_only=True)
class EntryVm:
    """Section ``[vm]``: identity and addresses of the daemon."""

    id: str = option(identifier, NAME_FORMAT)
    zone: str = option(identifier, NAME_FORMAT)
    caller_address: str = option(address, ADDRESS_FORMAT)
    readiness_address: str = option(address, ADDRESS_FORMAT)
    peer_address: str = option(address, ADDRESS_FORMAT)
    # Port of the metrics on the VM's own address; 0 for none.
    metrics_port: int = option(number(0, 65535, int), "a port, or 0", default=0)
    log_level: str = option(
        choice("debug", "info", "warning", "error"),
        "debug, info, warning or error",
        default="info",
    )
    # Seconds from SIGTERM to SIGKILL.
    grace: float = option(number(0, 3600), SECONDS, default=8.0)


@frozen(kw_only=True)
class EntryPlatform:
    """Section ``[platform]``: addresses of the platform's interfaces."""

    store: str = option(address, ADDRESS_FORMAT)
    cloud: str = option(address, ADDRESS_FORMAT)
    # Milliseconds in which two holders of a duty must not take turns.
    lease_ms: float = option(number(0, 3.6e6), "milliseconds", default=3000.0)
    # Disks that may be lost at the same time without losing a job.
    disk_losses: int = option(number(0, 100, int), "0 to 100", default=1)
    # Seconds for which batch jobs are kept.
    retention: float = option(number(0, 86400), "seconds", default=120.0)


@frozen(kw_only=True)
class EntryUsage:
    """Section ``[usage]``: windows of the usage reports."""

    window: int = option(number(1, 86400, int), "seconds from 1 to 86400", default=5)


@frozen(kw_only=True)
class EntryPeers:
    """Section ``[peers]``: the daemons known at start."""

    seeds: tuple[Seed, ...] = option(
        list_of(parse_seed), "lines of: VM ID, ZONE, ADDRESS", default=()
    )


@frozen
class EntrySettings:
    """All settings of a daemon on the platform."""

    vm: EntryVm
    platform: EntryPlatform
    usage: EntryUsage = field(factory=EntryUsage)
    peers: EntryPeers = field(factory=EntryPeers)


SECTIONS = {
    "vm": EntryVm,
    "platform": EntryPlatform,
    "usage": EntryUsage,
    "peers": EntryPeers,
}


def parse_entry_settings(content: str, file: str) -> EntrySettings:
    """Read settings from INI text.

    Raises
    ------
    InvalidFileError
        An exception group with every fault of the text.
    """
    return EntrySettings(**parse_sections(content, file, SECTIONS))


def parse_sections(
    content: str, file: str, classes: Mapping[str, type]
) -> dict[str, Any]:
    """Read the sections of INI text into one record each.

    Raises
    ------
    InvalidFileError
        An exception group with every fault of the text.
    """
    parts, faults = build_section_records(content, file, classes)
    if faults:
        raise InvalidFileError.of(faults)
    return parts


def load_entry_settings(path: str | Path) -> EntrySettings:
    """Read settings from a file.

    Raises
    ------
    InvalidFileError
        The file cannot be read or has faults.
    """
    return EntrySettings(**read_settings(path, SECTIONS))


def read_settings(path: str | Path, classes: Mapping[str, type]) -> dict[str, Any]:
    """Read the sections of an INI file into one record each.

    Raises
    ------
    InvalidFileError
        The file cannot be read or has faults.
    """
    try:
        content = Path(path).read_text()
    except (OSError, UnicodeDecodeError) as error:
        fault = Diagnostic(str(path), "", "", f"cannot be read: {error}")
        raise InvalidFileError.of([fault]) from error
    return parse_sections(content, str(path), classes)
