"""The program of the storage VMs: keeps accepted jobs while the store is away."""

import signal
import sys
from pathlib import Path

import eventlet
import eventlet.event
import orjson
from attrs import define, field, frozen

from ..coordination import Mirror, Put, Transaction
from ..jobs import JobRepository
from ..journal import JOURNAL_PREFIX, JobFileStore, JournalNode, JournalService
from ..outcomes import Done
from ..peering import PeerServer
from ..runtime import TimerService
from ..runtime.clock import wall_time
from ..settings.ini import address, identifier, nonempty_text, number, option
from ..settings.model import ADDRESS_FORMAT, NAME_FORMAT
from ..telemetry import configure_logging, log
from ..telemetry import define as define_event
from ..telemetry.sink import LogSink
from .daemon import PEER_TOKEN
from .settings import read_settings
from .store import PlatformStore

__all__ = ["StorageDaemon", "StorageSettings", "load_storage_settings"]

STORAGE_STARTED = define_event(1450, "storage_started", "info", "Jobs can be kept.")
STORAGE_STOPPED = define_event(1451, "storage_stopped", "info", "The program stops.")
STORAGE_EMPTIED = define_event(
    1452, "storage_emptied", "info", "The disk is empty and may be taken away."
)

RETIRE_PREFIX = "op/retire/"
RETIRE_STATUS_PREFIX = "status/retire/"
KEEP_PERIOD_S = 0.4
REGISTER_PERIOD_S = 1.0


@frozen(kw_only=True)
class StorageVm:
    """Section ``[vm]``: identity and disk."""

    id: str = option(identifier, NAME_FORMAT)
    zone: str = option(identifier, NAME_FORMAT)
    peer_address: str = option(address, ADDRESS_FORMAT)
    data_folder: str = option(nonempty_text, "a folder")


@frozen(kw_only=True)
class StoragePlatform:
    """Section ``[platform]``: the store."""

    store: str = option(address, ADDRESS_FORMAT)
    # Seconds for which batch jobs are kept.
    retention: float = option(number(0, 86400), "seconds", default=120.0)


@frozen
class StorageSettings:
    """All settings of the program on a storage VM."""

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
    """Keeps jobs on the disk of this VM and brings them into the store.

    Parameters
    ----------
    settings : StorageSettings
        Checked settings.
    """

    settings: StorageSettings
    store: PlatformStore = field(init=False)
    keeper: JournalService = field(init=False)
    retirements: Mirror = field(init=False)
    timers: TimerService = field(factory=TimerService)
    _registered: bool = False
    _retired: int = 0
    _stopped: eventlet.event.Event = field(factory=eventlet.event.Event)

    def __attrs_post_init__(self) -> None:
        """Connect the parts; nothing starts yet."""
        platform = self.settings.platform
        self.store = PlatformStore(platform.store)
        self.keeper = JournalService(
            JobFileStore(Path(self.settings.vm.data_folder) / "jobs"),
            JobRepository(self.store),
            wall_time,
            platform.retention,
        )
        self.retirements = Mirror(self.store, RETIRE_PREFIX + self.settings.vm.id)

    def run(self) -> None:
        """Serve until a signal asks for a stop."""
        vm = self.settings.vm
        configure_logging(vm.id, LogSink(sys.stdout.fileno()))
        signal.signal(signal.SIGTERM, self._on_stop_signal)
        signal.signal(signal.SIGINT, self._on_stop_signal)
        # The settings of a storage VM do not change while it runs.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
        server = PeerServer(vm.peer_address, PEER_TOKEN)
        self.keeper.register(server)
        server.start()
        self.retirements.start()
        self.timers.subscribe("register", REGISTER_PERIOD_S, self._register)
        self.timers.subscribe("journal", KEEP_PERIOD_S, self._turn)
        log(
            STORAGE_STARTED,
            data_folder=vm.data_folder,
            jobs=len(self.keeper.file_store),
        )
        self._stopped.wait()
        log(STORAGE_STOPPED)

    def _turn(self) -> None:
        retirement = self.retirements.get(RETIRE_PREFIX + self.settings.vm.id)
        if retirement is not None:
            self.keeper.close()
        self.keeper.upload_jobs()
        if retirement is not None and self.keeper.is_empty:
            self._leave(retirement.revision)

    def _register(self) -> None:
        """Tell entry daemons of this disk."""
        if self._registered or self.retirements.items:
            return
        vm = self.settings.vm
        record = JournalNode(vm.id, vm.zone, vm.peer_address).encode()
        outcome = self.store.commit(
            Transaction(puts=(Put(JOURNAL_PREFIX + vm.id, record),))
        )
        self._registered = isinstance(outcome, Done)

    def _leave(self, request: int) -> None:
        """Answer the request to empty this disk."""
        if self._retired == request:
            return
        vm = self.settings.vm.id
        status = orjson.dumps({"state": "completed"})
        outcome = self.store.commit(
            Transaction(
                puts=(Put(RETIRE_STATUS_PREFIX + vm, status),),
                removes=(JOURNAL_PREFIX + vm,),
            )
        )
        if isinstance(outcome, Done):
            self._retired = request
            log(STORAGE_EMPTIED)

    def _on_stop_signal(self, *_: object) -> None:
        self._stopped.send(True)
