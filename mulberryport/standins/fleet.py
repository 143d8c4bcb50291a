"""A fleet of separate processes on this machine, for the quick start and tests.

Each daemon, engine, service and the platform is a process of its own, which the
fleet starts, pauses, kills and stops. Files and logs are kept in one folder.
"""

import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

from attrs import define, field, frozen

from ..outcomes import Done
from ..runtime.http import call_json
from ..store import StoreClient

__all__ = ["DaemonProcess", "Fleet", "free_address", "wait_until"]

OPERATOR_TOKEN = "operator-token-of-a-test-fleet"
PEER_TOKEN = "peer-token-of-a-test-fleet"
POLL_S = 0.05
START_TIMEOUT_S = 20.0


def free_address() -> str:
    """Return an address on the loopback interface whose port is free."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


def wait_until(condition: Callable[[], Any], timeout: float, what: str) -> Any:
    """Return the first true value of a condition.

    Raises
    ------
    TimeoutError
        The condition was not true within ``timeout`` seconds.
    """
    deadline = time.monotonic() + timeout
    while time.monotonic() < deadline:
        value = condition()
        if value:
            return value
        time.sleep(POLL_S)
    raise TimeoutError(f"not within {timeout} s: {what}")


@frozen
class DaemonProcess:
    """A daemon of the fleet.

    Parameters
    ----------
    vm, zone : str
        Identity.
    caller_address, operator_address, peer_address : str
        Its ports.
    settings_file, log_file : Path
        Its files.
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
    """Processes that belong together.

    Parameters
    ----------
    folder : Path
        Where settings and logs are kept.
    program : str
        Module that is run; a test may start a build of its own.
    """

    folder: Path
    program: str = "mulberryport"
    platform_address: str = field(factory=free_address)
    daemons: list[DaemonProcess] = field(factory=list)
    _processes: dict[str, subprocess.Popen[bytes]] = field(factory=dict)

    @property
    def platform_url(self) -> str:
        """Base URL of the platform's interfaces."""
        return f"http://{self.platform_address}"

    @property
    def running(self) -> tuple[str, ...]:
        """Names of the processes that were started and not ended since."""
        return tuple(self._processes)

    @property
    def store(self) -> StoreClient:
        """A client of the platform's store."""
        return StoreClient(self.platform_url)

    def start_platform(self) -> None:
        """Start the platform's stand-in and wait until it answers."""
        self.start("platform", "standin", "platform", self.platform_address)
        url = f"{self.platform_url}/calls"
        wait_until(lambda: answers(url), START_TIMEOUT_S, "platform answers")

    def start_target(
        self, name: str, kind: str, *options: str, address: str = ""
    ) -> str:
        """Start an engine or a service and return its address."""
        address = address or free_address()
        self.start(name, "standin", kind, address, *options)
        url = f"http://{address}/load"
        wait_until(lambda: answers(url), START_TIMEOUT_S, f"{name} answers")
        return address

    def add_daemons(
        self,
        zones: Sequence[str],
        extra: str = "",
        vm_extra: str = "",
        platform_url: str = "",
    ) -> None:
        """Write the settings of a daemon for each zone; they are not started.

        Parameters
        ----------
        zones : sequence of str
            Zone of each daemon.
        extra : str
            Further sections of the settings.
        vm_extra : str
            Further lines of the section ``[vm]``.
        platform_url : str
            The platform as the daemons reach it; directly by default.
        """
        first = len(self.daemons) + 1
        added = [self._describe(f"vm{first + n}", zone) for n, zone in enumerate(zones)]
        self.daemons.extend(added)
        for daemon in added:
            self.write_settings(daemon, extra, vm_extra, platform_url)

    def write_settings(
        self,
        daemon: DaemonProcess,
        extra: str = "",
        vm_extra: str = "",
        platform_url: str = "",
        peer_addresses: dict[str, str] | None = None,
    ) -> None:
        """Write the settings file of a daemon.

        ``peer_addresses`` replaces the addresses at which it reaches some peers.
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
            f"log-file = {daemon.log_file}\n{vm_extra}\n"
            f"[platform]\nstore = {url}\norders = {url}\nusage = {url}\n"
            f"vms = {url}\nweights = {url}\n"
            f"[credentials]\noperator-token = {OPERATOR_TOKEN}\n"
            f"peer-token = {PEER_TOKEN}\n"
            f"[peers]\nseeds = {seeds}\n{extra}\n"
        )

    def start_daemons(self) -> None:
        """Start all daemons side by side and wait until they answer."""
        for daemon in self.daemons:
            if daemon.vm not in self._processes:
                self.start(daemon.vm, "daemon", str(daemon.settings_file))
        for daemon in self.daemons:
            wait_until(
                lambda d=daemon: self.operator(d, "/healthz"),
                START_TIMEOUT_S,
                f"{daemon.vm} is healthy",
            )

    def wait_ready(self, revision: int, timeout: float = START_TIMEOUT_S) -> None:
        """Wait until all daemons are ready with a revision or a newer one."""
        for daemon in self.daemons:
            wait_until(
                lambda d=daemon: self._is_ready(d, revision),
                timeout,
                f"{daemon.vm} is ready with revision {revision}",
            )

    def operator(self, daemon: DaemonProcess, path: str) -> Any:
        """Return the answer of a daemon's operator port, None without an answer."""
        outcome = call_json(
            "GET",
            f"http://{daemon.operator_address}{path}",
            timeout=1.0,
            headers={"Authorization": f"Bearer {OPERATOR_TOKEN}"},
        )
        return outcome.value.body if isinstance(outcome, Done) else None

    def start(self, name: str, *arguments: str) -> None:
        """Start a process of the program under a name."""
        output = open(self.folder / f"{name}.out", "ab")  # noqa: SIM115
        self._processes[name] = subprocess.Popen(
            [sys.executable, "-m", self.program, *arguments],
            stdout=output,
            stderr=subprocess.STDOUT,
            env={**os.environ, "EVENTLET_NO_GREENDNS": "yes"},
        )
        output.close()

    def signal(self, name: str, number: int) -> None:
        """Send a signal to a process."""
        self._processes[name].send_signal(number)

    def pid(self, name: str) -> int:
        """Return the process id of a process."""
        return self._processes[name].pid

    def kill(self, name: str) -> None:
        """Kill a process and wait for its end."""
        process = self._processes.pop(name)
        process.kill()
        process.wait()

    def pause(self, name: str) -> None:
        """Stop a process until it is resumed, as a paused VM does."""
        self.signal(name, signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Let a paused process go on."""
        self.signal(name, signal.SIGCONT)

    def terminate(self, name: str, timeout: float = 30.0) -> int:
        """Ask a process to stop gracefully and return its exit code."""
        process = self._processes.pop(name)
        process.terminate()
        return process.wait(timeout)

    def close(self) -> None:
        """Kill all processes that still run."""
        for name in list(self._processes):
            self.signal(name, signal.SIGCONT)
            self.kill(name)

    def _describe(self, vm: str, zone: str) -> DaemonProcess:
        return DaemonProcess(
            vm,
            zone,
            free_address(),
            free_address(),
            free_address(),
            self.folder / f"{vm}.ini",
            self.folder / f"{vm}.log",
        )

    def _is_ready(self, daemon: DaemonProcess, revision: int) -> bool:
        state = self.operator(daemon, "/state")
        if state is None or state["revision"] < revision:
            return False
        ready = self.operator(daemon, "/readyz")
        return bool(ready and ready["ready"])


def answers(url: str) -> bool:
    """Return whether a GET of a URL succeeds."""
    return isinstance(call_json("GET", url, timeout=1.0), Done)
