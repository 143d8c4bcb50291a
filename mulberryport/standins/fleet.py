"""Fleet of local processes for the quick start and tests.

The platform and each daemon, engine and service run as separate processes, which
the fleet starts, pauses, kills and stops. Settings and logs are in one folder.
"""

import fcntl
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Sequence
from functools import cache
from pathlib import Path
from typing import Any

from attrs import define, field, frozen

from ..outcomes import Done
from ..runtime.http import call_json
from ..store import StoreClient

__all__ = ["DaemonProcess", "Fleet", "find_free_address", "wait_until"]

OPERATOR_TOKEN = "operator-token-of-a-test-fleet"
PEER_TOKEN = "peer-token-of-a-test-fleet"
POLL_S = 0.05
START_TIMEOUT_S = 20.0
# Below the ports that outgoing connections get, which could take a port between its
# choice and its use.
FREE_PORTS = range(10_000, 32_768)

# Each program that chose a port holds a lock on the byte of that number, until it ends.
RESERVATIONS_FILE = Path(tempfile.gettempdir()) / f"mulberryport-ports-{os.getuid()}"

_given_ports: set[int] = set()


def find_free_address() -> str:
    """Return a loopback address whose port is free and was not returned before.

    Programs that use this function at the same time get different ports, also between
    the choice of a port and its use.

    Raises
    ------
    OSError
        No port is left.
    """
    candidates = [port for port in FREE_PORTS if port not in _given_ports]
    random.shuffle(candidates)
    for port in candidates:
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                # Another process uses the port.
                continue
            if _reserve(port):
                return f"127.0.0.1:{port}"
    raise OSError("no free port is left")


def _reserve(port: int) -> bool:
    """Reserve a port against other programs that choose one; return whether it is."""
    try:
        fcntl.lockf(_open_reservations(), fcntl.LOCK_EX | fcntl.LOCK_NB, 1, port)
    except OSError:
        # Another program holds the lock.
        return False
    _given_ports.add(port)
    return True


@cache
def _open_reservations() -> int:
    """Open the file of reservations; closing it would give them up."""
    return os.open(RESERVATIONS_FILE, os.O_RDWR | os.O_CREAT, 0o600)


def wait_until(condition: Callable[[], Any], timeout: float, description: str) -> Any:
    """Poll a condition and return its first true value.

    Raises
    ------
    TimeoutError
        The condition did not become true within ``timeout`` seconds.
    """
    deadline = time.monotonic() + timeout
    while time.monotonic() < deadline:
        value = condition()
        if value:
            return value
        time.sleep(POLL_S)
    raise TimeoutError(f"condition not met within {timeout} s: {description}")


@frozen
class DaemonProcess:
    """Identity, addresses and files of a daemon of the fleet.

    Parameters
    ----------
    vm, zone : str
        Id and availability zone of its VM.
    caller_address, operator_address, peer_address : str
        Addresses of its ports.
    settings_file, log_file : Path
        Paths of its settings and its log.
    """

    vm: str
    zone: str
    caller_address: str
    operator_address: str
    peer_address: str
    settings_file: Path
    log_file: Path

    @property
    def url(self) -> str:
        """Base URL of the caller port."""
        return f"http://{self.caller_address}"


@define(eq=False)
class Fleet:
    """Processes of one deployment: daemons and the stand-ins that they use.

    Parameters
    ----------
    folder : Path
        Folder of the settings and logs.
    module : str
        Module to run; a test may pass a variant of the program.
    """

    folder: Path
    module: str = "mulberryport"
    platform_address: str = field(factory=find_free_address)
    daemons: list[DaemonProcess] = field(factory=list)
    _processes: dict[str, subprocess.Popen[bytes]] = field(factory=dict)

    @property
    def platform_url(self) -> str:
        """Base URL of the platform's interfaces."""
        return f"http://{self.platform_address}"

    @property
    def running_processes(self) -> tuple[str, ...]:
        """Names of the processes that were started and not yet stopped or killed."""
        return tuple(self._processes)

    @property
    def store(self) -> StoreClient:
        """New client of the platform's store."""
        return StoreClient(self.platform_url)

    def start_platform(self) -> None:
        """Start the platform stand-in and wait until it responds."""
        self.start_process("platform", "standin", "platform", self.platform_address)
        url = f"{self.platform_url}/calls"
        wait_until(lambda: responds_to_get(url), START_TIMEOUT_S, "platform responds")

    def start_target(
        self, name: str, kind: str, *options: str, address: str = ""
    ) -> str:
        """Start an engine or a service, wait until it responds; return its address."""
        address = address or find_free_address()
        self.start_process(name, "standin", kind, address, *options)
        url = f"http://{address}/load"
        wait_until(lambda: responds_to_get(url), START_TIMEOUT_S, f"{name} responds")
        return address

    def add_daemons(
        self,
        zones: Sequence[str],
        extra_sections: str = "",
        extra_vm_lines: str = "",
        platform_url: str = "",
    ) -> None:
        """Add a daemon per zone and write its settings, without starting it.

        Parameters
        ----------
        zones : sequence of str
            Availability zone of each daemon.
        extra_sections : str
            Further sections of the settings file.
        extra_vm_lines : str
            Further lines of the section ``[vm]``.
        platform_url : str
            URL at which the daemons reach the platform; defaults to its own URL.
        """
        first = len(self.daemons) + 1
        added = [
            self._new_daemon(f"vm{first + n}", zone) for n, zone in enumerate(zones)
        ]
        self.daemons.extend(added)
        for daemon in added:
            self.write_settings(daemon, extra_sections, extra_vm_lines, platform_url)

    def write_settings(
        self,
        daemon: DaemonProcess,
        extra_sections: str = "",
        extra_vm_lines: str = "",
        platform_url: str = "",
        peer_addresses: dict[str, str] | None = None,
    ) -> None:
        """Write the settings file of a daemon.

        ``peer_addresses`` maps VMs to the addresses at which this daemon reaches them,
        where these differ from the peers' own addresses.
        """
        url = platform_url or self.platform_url
        replaced = peer_addresses or {}
        seeds = "".join(
            f"\n    {d.vm} {d.zone} {replaced.get(d.vm, d.peer_address)}"
            for d in self.daemons
            if d.vm != daemon.vm
        )
        daemon.settings_file.write_text(
            f"[vm]\nid = {daemon.vm}\nzone = {daemon.zone}\n"
            f"caller-address = {daemon.caller_address}\n"
            f"operator-address = {daemon.operator_address}\n"
            f"peer-address = {daemon.peer_address}\n"
            f"log-file = {daemon.log_file}\n{extra_vm_lines}\n"
            f"[platform]\nstore = {url}\norders = {url}\nusage = {url}\n"
            f"vms = {url}\nweights = {url}\n"
            f"[credentials]\noperator-token = {OPERATOR_TOKEN}\n"
            f"peer-token = {PEER_TOKEN}\n"
            f"[peers]\nseeds = {seeds}\n{extra_sections}\n"
        )

    def start_daemons(self) -> None:
        """Start all daemons that are not running and wait until they are healthy."""
        for daemon in self.daemons:
            if daemon.vm not in self._processes:
                self.start_process(daemon.vm, "daemon", str(daemon.settings_file))
        for daemon in self.daemons:
            wait_until(
                lambda d=daemon: self.query_operator(d, "/healthz"),
                START_TIMEOUT_S,
                f"{daemon.vm} is healthy",
            )

    def wait_ready(self, revision: int, timeout: float = START_TIMEOUT_S) -> None:
        """Wait until all daemons are ready with at least the given revision."""
        for daemon in self.daemons:
            wait_until(
                lambda d=daemon: self._is_ready(d, revision),
                timeout,
                f"{daemon.vm} is ready with revision {revision}",
            )

    def query_operator(self, daemon: DaemonProcess, path: str) -> Any:
        """GET a path on a daemon's operator port; return None without a response."""
        outcome = call_json(
            "GET",
            f"http://{daemon.operator_address}{path}",
            timeout=1.0,
            headers={"Authorization": f"Bearer {OPERATOR_TOKEN}"},
        )
        return outcome.value.body if isinstance(outcome, Done) else None

    def start_process(self, name: str, *arguments: str) -> None:
        """Start the program under the given process name."""
        output = open(self.folder / f"{name}.out", "ab")  # noqa: SIM115
        self._processes[name] = subprocess.Popen(
            [sys.executable, "-m", self.module, *arguments],
            stdout=output,
            stderr=subprocess.STDOUT,
            env={**os.environ, "EVENTLET_NO_GREENDNS": "yes"},
        )
        output.close()

    def send_signal(self, name: str, number: int) -> None:
        """Send a signal to a process."""
        self._processes[name].send_signal(number)

    def pid(self, name: str) -> int:
        """Return the process id of a process."""
        return self._processes[name].pid

    def kill(self, name: str) -> None:
        """Kill a process and wait until it has exited."""
        process = self._processes.pop(name)
        process.kill()
        process.wait()

    def pause(self, name: str) -> None:
        """Stop a process with SIGSTOP, which simulates a paused VM."""
        self.send_signal(name, signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Resume a paused process."""
        self.send_signal(name, signal.SIGCONT)

    def terminate(self, name: str, timeout: float = 30.0) -> int:
        """Send SIGTERM to a process and return its exit code."""
        process = self._processes.pop(name)
        process.terminate()
        return process.wait(timeout)

    def close(self) -> None:
        """Kill all remaining processes."""
        for name in list(self._processes):
            self.send_signal(name, signal.SIGCONT)
            self.kill(name)

    def _new_daemon(self, vm: str, zone: str) -> DaemonProcess:
        return DaemonProcess(
            vm,
            zone,
            find_free_address(),
            find_free_address(),
            find_free_address(),
            self.folder / f"{vm}.ini",
            self.folder / f"{vm}.log",
        )

    def _is_ready(self, daemon: DaemonProcess, revision: int) -> bool:
        state = self.query_operator(daemon, "/state")
        if state is None or state["revision"] < revision:
            return False
        ready = self.query_operator(daemon, "/readyz")
        return bool(ready and ready["ready"])


def responds_to_get(url: str) -> bool:
    """Return whether a GET request gets a response with a status below 500."""
    return isinstance(call_json("GET", url, timeout=1.0), Done)
