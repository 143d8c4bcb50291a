"""Settings of the daemons on the platform.

The platform renders the INI files from the templates ``deploy/entry.ini`` and, for the
storage VMs, ``deploy/storage.ini``.
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
    "PEER_TOKEN",
    "EntrySettings",
    "load_entry_settings",
    "parse_entry_settings",
    "read_settings",
]

# Token of the peer port, which accepts calls from this project's daemons only.
PEER_TOKEN = "mulberryport-entry-peers"

SECONDS_RANGE = "seconds from 0 to 3600"


@frozen(kw_only=True)
class EntryVm:
    """Section ``[vm]``: identity and addresses of the daemon."""

    id: str = option(identifier, NAME_FORMAT)
    zone: str = option(identifier, NAME_FORMAT)
    caller_address: str = option(address, ADDRESS_FORMAT)
    readiness_address: str = option(address, ADDRESS_FORMAT)
    peer_address: str = option(address, ADDRESS_FORMAT)
    # Port of the metrics endpoint on the host of the readiness address; 0 disables it.
    metrics_port: int = option(number(0, 65535, int), "a port, or 0", default=0)
    log_level: str = option(
        choice("debug", "info", "warning", "error"),
        "debug, info, warning or error",
        default="info",
    )
    # Seconds between SIGTERM and SIGKILL.
    grace: float = option(number(0, 3600), SECONDS_RANGE, default=8.0)


@frozen(kw_only=True)
class EntryPlatform:
    """Section ``[platform]``: addresses of the platform's interfaces."""

    store: str = option(address, ADDRESS_FORMAT)
    cloud: str = option(address, ADDRESS_FORMAT)
    # Milliseconds within which a duty must not move back and forth between holders.
    lease_ms: float = option(number(0, 3.6e6), "milliseconds", default=3000.0)
    # Number of disks whose simultaneous loss must not lose a job.
    disk_losses: int = option(number(0, 100, int), "0 to 100", default=1)
    # Milliseconds within which nothing more must be sent to an evacuated zone; 0 if the
    # operator evacuates no zones.
    evacuation_ms: float = option(number(0, 3.6e6), "milliseconds", default=0.0)
    # Seconds for which batch jobs are retained.
    retention: float = option(number(0, 86400), "seconds", default=120.0)


@frozen(kw_only=True)
class EntryUsage:
    """Section ``[usage]``: length of the usage windows."""

    window: int = option(number(1, 86400, int), "seconds from 1 to 86400", default=5)


@frozen(kw_only=True)
class EntryPeers:
    """Section ``[peers]``: the daemons to contact at start."""

    seeds: tuple[Seed, ...] = option(
        list_of(parse_seed), "lines of: VM ID, ZONE, ADDRESS", default=()
    )


@frozen
class EntrySettings:
    """All settings of an entry daemon on the platform."""

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
    """Parse settings from INI text.

    Raises
    ------
    InvalidFileError
        Exception group with every error in the text.
    """
    return EntrySettings(**parse_sections(content, file, SECTIONS))


def parse_sections(
    content: str, file: str, classes: Mapping[str, type]
) -> dict[str, Any]:
    """Parse each section of INI text into a record.

    Raises
    ------
    InvalidFileError
        Exception group with every error in the text.
    """
    sections, faults = build_section_records(content, file, classes)
    if faults:
        raise InvalidFileError.of(faults)
    return sections


def load_entry_settings(path: str | Path) -> EntrySettings:
    """Read settings from a file.

    Raises
    ------
    InvalidFileError
        The file cannot be read or is invalid.
    """
    return EntrySettings(**read_settings(path, SECTIONS))


def read_settings(path: str | Path, classes: Mapping[str, type]) -> dict[str, Any]:
    """Read each section of an INI file into a record.

    Raises
    ------
    InvalidFileError
        The file cannot be read or is invalid.
    """
    try:
        content = Path(path).read_text()
    except (OSError, UnicodeDecodeError) as error:
        fault = Diagnostic(str(path), "", "", f"cannot be read: {error}")
        raise InvalidFileError.of([fault]) from error
    return parse_sections(content, str(path), classes)
