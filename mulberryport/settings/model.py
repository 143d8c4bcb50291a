"""Settings of one daemon and their validation."""

from collections import Counter
from pathlib import Path
from typing import Any

from attrs import field, frozen

from .errors import Diagnostic, InvalidFileError
from .ini import (
    address,
    boolean,
    build_section_records,
    choice,
    identifier,
    list_of,
    nonempty_text,
    number,
    option,
    url,
)

__all__ = [
    "DaemonSettings",
    "Seed",
    "load_settings",
    "parse_seed",
    "parse_settings",
]

ADDRESS_FORMAT = "an IPv4 address and port, such as 10.0.0.1:8080"
URL_FORMAT = "an HTTP URL with an IPv4 address, such as http://10.0.0.1:8080"
NAME_FORMAT = "letters, digits, dots, hyphens and underscores"
TOKEN_FORMAT = "a secret of at least 16 characters"


def _parse_token(value: str) -> str:
    if len(value) < 16:
        raise ValueError("is too short")
    return value


def parse_seed(value: str) -> "Seed":
    """Parse a VM id, an availability zone and a peer address."""
    words = value.split()
    if len(words) != 3:
        raise ValueError(f"{value!r} is not a peer daemon")
    return Seed(identifier(words[0]), identifier(words[1]), address(words[2]))


@frozen
class Seed:
    """A peer daemon that is known from the settings at startup.

    Parameters
    ----------
    vm, zone : str
        Id of the VM and its availability zone.
    peer_address : str
        IPv4 address and port of its peer protocol.
    """

    vm: str
    zone: str
    peer_address: str


@frozen(kw_only=True)
class VmSettings:
    """Section ``[vm]``: identity, listen addresses, storage and logging."""

    id: str = option(identifier, NAME_FORMAT)
    zone: str = option(identifier, NAME_FORMAT)
    region: str = option(identifier, NAME_FORMAT, default="default")
    caller_address: str = option(address, ADDRESS_FORMAT)
    operator_address: str = option(address, ADDRESS_FORMAT)
    peer_address: str = option(address, ADDRESS_FORMAT)
    data_folder: str = option(nonempty_text, "a folder", default="")
    log_file: str = option(
        nonempty_text, "a file; standard error if absent", default=""
    )
    log_level: str = option(
        choice("debug", "info", "warning", "error"),
        "debug, info, warning or error",
        default="info",
    )
    drain_delay: float = option(
        number(0, 300), "seconds from 0 to 300", default=5.0
    )  # seconds for the load balancer to notice the failing readiness probe
    drain_timeout: float = option(
        number(1, 3600), "seconds from 1 to 3600", default=600.0
    )  # seconds allowed for requests in flight to finish


@frozen(kw_only=True)
class PlatformSettings:
    """Section ``[platform]``: URLs of the platform services."""

    store: str = option(url, URL_FORMAT)
    orders: str = option(url, URL_FORMAT)
    usage: str = option(url, URL_FORMAT)
    vms: str = option(url, URL_FORMAT)
    weights: str = option(url, URL_FORMAT)
    timeout: float = option(number(0.1, 30), "seconds from 0.1 to 30", default=2.0)
    # Whether the platform rejects target orders with a stale fencing number.
    orders_check_fencing: bool = option(boolean, "yes or no", default=False)


@frozen(kw_only=True)
class CredentialSettings:
    """Section ``[credentials]``: access tokens of the ports and the platform."""

    operator_token: str = option(_parse_token, TOKEN_FORMAT, repr=False)
    peer_token: str = option(_parse_token, TOKEN_FORMAT, repr=False)
    platform_token: str = option(_parse_token, TOKEN_FORMAT, default="", repr=False)


@frozen(kw_only=True)
class PeerSettings:
    """Section ``[peers]``: the peer daemons known at startup."""

    seeds: tuple[Seed, ...] = option(
        list_of(parse_seed), "lines of: VM ID, ZONE, ADDRESS", default=()
    )


@frozen(kw_only=True)
class UsageSettings:
    """Section ``[usage]``: windows and sharding of the usage reports."""

    window: int = option(
        number(1, 86400, int), "whole seconds from 1 to 86400", default=60
    )
    grace: float = option(number(0, 600), "seconds from 0 to 600", default=5.0)
    shards: int = option(number(1, 256, int), "a whole number from 1 to 256", default=1)


@frozen
class DaemonSettings:
    """All settings of one daemon."""

    vm: VmSettings
    platform: PlatformSettings
    credentials: CredentialSettings
    peers: PeerSettings = field(factory=PeerSettings)
    usage: UsageSettings = field(factory=UsageSettings)


SECTION_CLASSES = {
    "vm": VmSettings,
    "platform": PlatformSettings,
    "credentials": CredentialSettings,
    "peers": PeerSettings,
    "usage": UsageSettings,
}


def parse_settings(content: str, file: str) -> DaemonSettings:
    """Parse the settings of a daemon from INI text.

    Parameters
    ----------
    content : str
        The INI text.
    file : str
        Name of the source, for diagnostics.

    Raises
    ------
    InvalidFileError
        The text is invalid; the exception group holds every error.
    """
    parts, diagnostics = build_section_records(content, file, SECTION_CLASSES)
    diagnostics.extend(_find_conflicts(parts, file))
    if diagnostics:
        raise InvalidFileError.of(diagnostics)
    return DaemonSettings(**parts)


def _find_conflicts(parts: dict[str, Any], file: str) -> list[Diagnostic]:
    """Return conflicts between settings; a section with errors is None in ``parts``."""
    diagnostics = []
    vm, credentials, peers = parts["vm"], parts["credentials"], parts["peers"]
    if vm is not None:
        address_names = ("caller_address", "operator_address", "peer_address")
        for index, name in enumerate(address_names):
            if getattr(vm, name) in [
                getattr(vm, other) for other in address_names[:index]
            ]:
                message = f"{getattr(vm, name)} is also the address of another port"
                diagnostics.append(
                    Diagnostic(file, "vm", name.replace("_", "-"), message)
                )
    if credentials and credentials.operator_token == credentials.peer_token:
        message = "must differ from operator-token"
        diagnostics.append(Diagnostic(file, "credentials", "peer-token", message))
    if peers is not None:
        for vm_id, count in Counter(seed.vm for seed in peers.seeds).items():
            if count > 1:
                message = f"VM {vm_id} is listed {count} times"
                diagnostics.append(Diagnostic(file, "peers", "seeds", message))
    return diagnostics


def load_settings(path: str | Path) -> DaemonSettings:
    """Load the settings of a daemon from an INI file.

    Raises
    ------
    InvalidFileError
        The file cannot be read or is invalid.
    """
    try:
        content = Path(path).read_text()
    except (OSError, UnicodeDecodeError) as error:
        diagnostic = Diagnostic(str(path), "", "", f"cannot be read: {error}")
        raise InvalidFileError.of([diagnostic]) from error
    return parse_settings(content, str(path))
