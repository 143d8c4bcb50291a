"""Commands that run processes or check their configuration files."""

from pathlib import Path
from typing import Annotated, Literal

import cappa
import eventlet
from attrs import define

from ..runtime.wsgi import listen, serve
from ..settings import InvalidFileError, load_settings
from .output import exit_with_error, exit_with_faults, print_json
from .tables import read_tables_file

__all__ = [
    "CheckCommand",
    "DaemonCommand",
    "EntryCommand",
    "StandinCommand",
    "StorageCommand",
]


@cappa.command(name="daemon", help="Run an entry daemon.")
@define
class DaemonCommand:
    """Run an entry daemon."""

    settings: Annotated[str, cappa.Arg(help="Settings file.")]

    def __call__(self) -> None:
        """Run the command."""
        try:
            settings = load_settings(self.settings)
        except InvalidFileError as error:
            exit_with_faults(error, False)
        from ..daemon.process import Daemon

        Daemon(settings).run()


@cappa.command(name="entry", help="Run an entry daemon on the users' platform.")
@define
class EntryCommand:
    """Run an entry daemon on the users' platform."""

    settings: Annotated[
        str,
        cappa.Arg(default=cappa.Env("MULBERRYPORT_SETTINGS"), help="Settings file."),
    ]

    def __call__(self) -> None:
        """Run the command."""
        from ..platform.entry import run_entry

        try:
            run_entry(self.settings)
        except InvalidFileError as error:
            exit_with_faults(error, False)


@cappa.command(name="storage", help="Run a daemon that keeps accepted jobs on disk.")
@define
class StorageCommand:
    """Run a daemon that keeps accepted jobs on disk while the store is unavailable."""

    settings: Annotated[
        str,
        cappa.Arg(default=cappa.Env("MULBERRYPORT_SETTINGS"), help="Settings file."),
    ]

    def __call__(self) -> None:
        """Run the command."""
        from ..platform.storage_program import run_storage

        try:
            run_storage(self.settings)
        except InvalidFileError as error:
            exit_with_faults(error, False)


@cappa.command(name="check", help="Check a settings file or a file of tables.")
@define
class CheckCommand:
    """Check a settings file or a file of tables."""

    file: Annotated[str, cappa.Arg(help="File to check.")]
    json: Annotated[bool, cappa.Arg(long=True, help="Print JSON.")] = False

    def __call__(self) -> None:
        """Run the command; exit with status 1 if the file has faults."""
        try:
            content = Path(self.file).read_text()
        except (OSError, UnicodeDecodeError) as error:
            exit_with_error(f"{self.file}: cannot be read: {error}")
        # Only settings files of daemons have a section [vm].
        if any(line.strip() == "[vm]" for line in content.splitlines()):
            try:
                load_settings(self.file)
            except InvalidFileError as error:
                exit_with_faults(error, self.json)
        else:
            read_tables_file(self.file, self.json)
        print_json([]) if self.json else print(f"{self.file}: no faults")


@cappa.command(name="standin", help="Run a stand-in for an external system.")
@define
class StandinCommand:
    """Run a stand-in for an external system, for tests and experiments."""

    kind: Annotated[
        Literal["platform", "engine", "service"],
        cappa.Arg(help="External system to replace."),
    ]
    address: Annotated[str, cappa.Arg(help="IP address and port to listen on.")]
    weights: Annotated[
        str, cappa.Arg(long=True, default="", help="Engine: URL of the weight store.")
    ] = ""
    pool: Annotated[
        str, cappa.Arg(long=True, default="", help="Engine: name of its pool.")
    ] = ""
    ignore_fencing: Annotated[
        bool,
        cappa.Arg(
            long=True,
            default=False,
            help="Engine: accept orders with any fencing number.",
        ),
    ] = False

    def __call__(self) -> None:
        """Run the command."""
        from ..standins import (
            EngineState,
            ServiceState,
            engine_application,
            platform_application,
            service_application,
        )

        if self.kind == "platform":
            application = platform_application()
        elif self.kind == "engine":
            application = engine_application(
                EngineState(
                    checks_fencing=not self.ignore_fencing,
                    weights=self.weights,
                    pool=self.pool,
                )
            )
        else:
            application = service_application(ServiceState())
        server: eventlet.greenthread.GreenThread = serve(
            listen(self.address), application
        )
        server.wait()
