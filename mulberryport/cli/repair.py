"""Reads the tables in force from a running daemon to repair the store."""

from ..distribution import fetch_snapshot
from ..outcomes import Done
from ..settings import InvalidFileError, load_settings
from ..tables import Snapshot
from .connection import StoreOptions
from .output import exit_with_error, exit_with_faults

__all__ = ["read_daemon_snapshot"]

CALL_TIMEOUT_S = 5.0


def read_daemon_snapshot(options: StoreOptions) -> Snapshot:
    """Return the snapshot that is in force in the daemon of the settings file."""
    try:
        settings = load_settings(options.settings or "")
    except InvalidFileError as error:
        exit_with_faults(error, options.json)
    outcome = fetch_snapshot(
        settings.vm.peer_address, settings.credentials.peer_token, CALL_TIMEOUT_S
    )
    if not isinstance(outcome, Done):
        exit_with_error(
            f"nothing was changed: the daemon {settings.vm.id} cannot be asked for the "
            f"keys in force: {outcome.reason}\nWith --store instead of --settings the "
            "keys of the store's copy are used, also those that were withdrawn since."
        )
    return outcome.value
