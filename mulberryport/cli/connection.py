"""Options that select the store of a command."""

from typing import Annotated

import cappa
from attrs import define

from ..settings import InvalidFileError, load_settings
from ..settings.ini import url
from ..store import StoreClient
from .output import EXIT_USAGE, exit_with_error, exit_with_faults

__all__ = ["StoreOptions", "open_store"]


@define
class StoreOptions:
    """Options of the commands that access the store."""

    settings: Annotated[
        str | None,
        cappa.Arg(
            long=True,
            default=cappa.Env("MULBERRYPORT_SETTINGS", default=None),
            help="Settings file of a daemon; it contains the URL of the store.",
        ),
    ] = None
    store: Annotated[
        str | None,
        cappa.Arg(
            long=True,
            default=cappa.Env("MULBERRYPORT_STORE", default=None),
            help="Base URL of the store, instead of a settings file.",
        ),
    ] = None
    json: Annotated[bool, cappa.Arg(long=True, help="Print JSON.")] = False


def open_store(options: StoreOptions) -> StoreClient:
    """Return a client for the store that the options select."""
    if options.store:
        try:
            return StoreClient(url(options.store))
        except ValueError as error:
            exit_with_error(f"--store: {error}", EXIT_USAGE)
    if not options.settings:
        exit_with_error(
            "specify the store with --settings FILE or --store URL", EXIT_USAGE
        )
    try:
        settings = load_settings(options.settings)
    except InvalidFileError as error:
        exit_with_faults(error, options.json)
    return StoreClient(
        settings.platform.store,
        settings.platform.timeout,
        settings.credentials.platform_token,
    )
