"""Daemon of the storage VMs: journals accepted jobs during a store outage."""

import signal
import sys
from pathlib import Path

import eventlet
import eventlet.event
import orjson
from attrs import define, field, frozen

from ..coordination import Committed, Mirror, Put, Transaction
from ..jobs import JobRepository
from ..journal import JOURNAL_PREFIX, JobFileStore, JournalNode, JournalService
from ..outcomes import Done
from ..peering import PeerServer
from ..runtime import TimerService
from ..runtime.signals import exit_process, on_stop_signal
from ..settings.ini import address, identifier, nonempty_text, number, option
from ..settings.model import ADDRESS_FORMAT, NAME_FORMAT
from ..telemetry import configure_logging, log
from ..telemetry import define as define_event
from ..telemetry.sink import LogSink
from .settings import PEER_TOKEN, read_settings
from .store import PlatformStore

__all__ = ["StorageDaemon", "StorageSettings", "load_storage_settings"]

STORAGE_STARTED = define_event(
    1450, "storage_started", "info", "The daemon accepts jobs into the journal."
)
STORAGE_STOPPED = define_event(1451, "storage_stopped", "info", "The daemon exits.")
STORAGE_EMPTIED = define_event(
    1452, "storage_emptied", "info", "The journal is empty and the disk may be removed."
)

RETIREMENT_PREFIX = "op/retire/"
RETIREMENT_STATUS_PREFIX = "status/retire/"
JOURNAL_PERIOD_S = 0.4
REGISTER_PERIOD_S = 1.0


@frozen(kw_only=True)
class StorageVm:
    """Section ``[vm]``: identity and data folder."""

    id: str = option(identifier, NAME_FORMAT)
    zone: str = option(identifier, NAME_FORMAT)
    peer_address: str = option(address, ADDRESS_FORMAT)
    data_folder: str = option(nonempty_text, "a folder")


@frozen(kw_only=True)
class StoragePlatform:
    """Section ``[platform]``: address of the store and retention of jobs."""

    store: str = option(address, ADDRESS_FORMAT)
    # Seconds for which batch jobs are retained.
    retention: float = option(number(0, 86400), "seconds", default=120.0)


@frozen
class StorageSettings:
    """All settings of the daemon on a storage VM."""

    vm: StorageVm
    platform: StoragePlatform


def load_storage_settings(path: str | Path) -> StorageSettings:
    """Read settings from a file.

    Raises
    ------
    InvalidFileError
        The file cannot be read or has faults.
    """
    sections = {"vm": StorageVm, "platform": StoragePlatform}
    return StorageSettings(**read_settings(path, sections))


@define(eq=False)
class StorageDaemon:
    """Journals jobs on the disk of this VM and uploads them to the store.

    Parameters
    ----------
    settings : StorageSettings
        Validated settings.
    """

    settings: StorageSettings
    store: PlatformStore = field(init=False)
    journal: JournalService = field(init=False)
    retirements: Mirror = field(init=False)
    timers: TimerService = field(factory=TimerService)
    _is_registered: bool = False
    _confirmed_revision: int = 0
    _stopped: eventlet.event.Event = field(factory=eventlet.event.Event)

    def __attrs_post_init__(self) -> None:
        """Connect the components without starting them."""
        platform = self.settings.platform
        self.store = PlatformStore(platform.store)
        self.journal = JournalService(
            JobFileStore(Path(self.settings.vm.data_folder) / "jobs"),
            JobRepository(self.store),
            platform.retention,
        )
        self.retirements = Mirror(self.store, RETIREMENT_PREFIX + self.settings.vm.id)

    def run(self) -> None:
        """Serve until SIGTERM or SIGINT."""
        vm = self.settings.vm
        configure_logging(vm.id, LogSink(sys.stdout.fileno()))
        on_stop_signal(self._on_stop_signal)
        # The settings of a storage VM are fixed while the daemon runs.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
        server = PeerServer(vm.peer_address, PEER_TOKEN)
        self.journal.register(server)
        server.start()
        self.retirements.start()
        self.timers.subscribe("register", REGISTER_PERIOD_S, self._register_journal)
        self.timers.subscribe("journal", JOURNAL_PERIOD_S, self._run_journal)
        log(
            STORAGE_STARTED,
            data_folder=vm.data_folder,
            jobs=len(self.journal.file_store),
        )
        self._stopped.wait()
        log(STORAGE_STOPPED)
        exit_process()

    def _run_journal(self) -> None:
        retirement = self.retirements.get(RETIREMENT_PREFIX + self.settings.vm.id)
        if retirement is not None:
            self.journal.close()
        self.journal.upload_jobs()
        if retirement is not None and self.journal.is_empty:
            self._confirm_retirement(retirement.revision)

    def _register_journal(self) -> None:
        """Register this journal for the entry daemons, unless it is to be emptied."""
        if self._is_registered or not self.retirements.loaded:
            return
        if self.retirements.items:
            return
        vm = self.settings.vm
        status_key = RETIREMENT_STATUS_PREFIX + vm.id
        status = self.store.read(status_key)
        if not isinstance(status, Done):
            return
        record = JournalNode(vm.id, vm.zone, vm.peer_address).encode()
        # A registration that takes effect late must not follow the confirmation that
        # the disk may be removed.
        outcome = self.store.commit(
            Transaction(
                expected={status_key: status.value.revision if status.value else 0},
                puts=(Put(JOURNAL_PREFIX + vm.id, record),),
            )
        )
        self._is_registered = isinstance(outcome, Done) and isinstance(
            outcome.value, Committed
        )

    def _confirm_retirement(self, request_revision: int) -> None:
        """Report that the request to empty this disk is completed."""
        if self._confirmed_revision == request_revision:
            return
        vm = self.settings.vm.id
        record_key = JOURNAL_PREFIX + vm
        record = self.store.read(record_key)
        if not isinstance(record, Done):
            return
        status = orjson.dumps({"state": "completed"})
        # A confirmation that takes effect late must not follow the registration of a
        # later run of this daemon, which accepts jobs again.
        outcome = self.store.commit(
            Transaction(
                expected={record_key: record.value.revision if record.value else 0},
                puts=(Put(RETIREMENT_STATUS_PREFIX + vm, status),),
                removes=(record_key,),
            )
        )
        if isinstance(outcome, Done) and isinstance(outcome.value, Committed):
            self._confirmed_revision = request_revision
            log(STORAGE_EMPTIED)

    def _on_stop_signal(self, *_: object) -> None:
        self._stopped.send(True)
