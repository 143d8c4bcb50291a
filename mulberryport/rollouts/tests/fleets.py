"""Fleets of processes, and trainers whose samples are judged from the outside."""

import random
import tempfile
from collections import Counter
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import eventlet
from attrs import define, field

from ...client import Group, ReceivedSample, TrainerClient
from ...runtime.http import JsonReply, call_json
from ...standins import expected_tokens
from ...standins.fleet import DaemonProcess, Fleet, wait_until
from ...tables import change_tables, issue_key, new_change_id, parse_tables

__all__ = ["Judge", "LossyClient", "running_fleet"]

TOKENS = 120
TABLES = """
[workspace roads]
[route drafting]
path = /drafting/
pool = drafting
workspaces = roads
[route scoring]
path = /scoring/
pool = scoring
workspaces = roads
[pool scoring]
kind = plain-service
targets = scorer {scorer} rosario
[pool drafting]
kind = model-engine
targets =
    engine1 {engine1} rosario fencing
    engine2 {engine2} parana fencing
    engine3 {engine3} santa-fe fencing
"""


@contextmanager
def running_fleet() -> Iterator["Judge"]:
    """Run three daemons, three engines and a scoring service."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(Path(folder))
        try:
            fleet.start_platform()
            options = ("--weights", fleet.platform_url, "--pool", "drafting")
            engines = {
                name: fleet.start_target(name, "engine", *options)
                for name in ("engine1", "engine2", "engine3")
            }
            scorer = fleet.start_target("scorer", "service")
            fleet.add_daemons(
                ["rosario", "parana", "santa-fe"], extra_vm_lines="drain-delay = 2"
            )
            fleet.start_daemons()
            tables = parse_tables(TABLES.format(scorer=scorer, **engines), "tables")
            change_tables(fleet.store, lambda _: tables, change_id=new_change_id())
            key, outcome = issue_key(fleet.store, "roads", change_id=new_change_id())
            fleet.wait_ready(outcome.value.revision)
            for daemon in fleet.daemons:
                wait_until(
                    lambda d=daemon: (
                        len(fleet.query_operator(d, "/state")["members"]) == 3
                    ),
                    10,
                    "all daemons know each other",
                )
            yield Judge(fleet, engines, scorer, key)
        except BaseException:
            for file in sorted(Path(folder).glob("*.out")):
                print(f"--- {file.name}\n{file.read_text()[-1500:]}")
            raise
        finally:
            fleet.close()


@define(eq=False)
class LossyClient(TrainerClient):
    """Loses each answer with a probability, after the call took effect."""

    loss: float = 0.0
    source: random.Random = field(factory=lambda: random.Random(7))

    def _call(self, method: str, path: str, body: object) -> JsonReply | None:
        reply = TrainerClient._call(self, method, path, body)
        lost = method != "DELETE" and self.source.random() < self.loss
        return None if lost else reply


@define(eq=False)
class Judge:
    """Runs steps and judges each sample by the engines' own logs."""

    fleet: Fleet
    engines: dict[str, str]
    scorer: str
    key: str
    version: int = 1
    steps: int = 0
    lost_engines: set[str] = field(factory=set)

    def run_step(
        self,
        groups: Sequence[Group],
        bound: int,
        during: Callable[[int, "Judge"], None] = lambda count, judge: None,
        *,
        loss: float = 0.0,
        scoring_route: str = "",
    ) -> dict[tuple[int, int], ReceivedSample]:
        """Run a step; ``during`` is called with the number of samples so far.

        Each slot must arrive once, whole, within the bound, and with versions that
        the engines attest.
        """
        self.steps += 1
        client = LossyClient(
            [daemon.url for daemon in self.fleet.daemons],
            self.key,
            "warnings",
            "drafting",
            lambda: self.version,
            loss=loss,
        )
        arrivals: Counter[tuple[int, int]] = Counter()
        samples = {}
        for sample in client.run_step(
            self.steps,
            groups,
            staleness_bound=bound,
            deadline=40,
            scoring_route=scoring_route,
        ):
            slot = (sample.group, sample.index)
            arrivals[slot] += 1
            samples[slot] = sample
            assert self.version - min(v for v, _ in sample.versions) <= bound
            during(len(samples), self)
        wanted = {
            (g, i) for g, group in enumerate(groups) for i in range(group.samples)
        }
        assert arrivals == Counter(wanted)
        attested = self.attested()
        for (group, index), sample in samples.items():
            prompt = f"{groups[group].prompt}#{index}"
            assert list(sample.tokens) == expected_tokens(prompt, TOKENS)
            if self.lost_engines & set(sample.target.split(",")):
                continue
            versions = [v for v, count in sample.versions for _ in range(count)]
            for position, version in enumerate(versions):
                assert (prompt, position, version) in attested
        return samples

    def attested(self) -> set[tuple[str, int, int]]:
        """Return prompt, position and version of all tokens the engines made."""
        return {
            (request["prompt"], offset + n, version)
            for request in self.requests()
            for offset, count, version in request["produced"]
            for n in range(count)
        }

    def requests(self) -> list[dict[str, Any]]:
        """Return all requests that the engines saw."""
        found = []
        for name, address in self.engines.items():
            if name not in self.lost_engines:
                reply = call_json("GET", f"http://{address}/log", timeout=5)
                found.extend(reply.value.body["requests"])
        return found

    def wait_unfilled(self, owner: DaemonProcess, unfilled: int) -> None:
        """Wait until few slots are unfilled and all finished samples replicated."""

        def reached() -> bool:
            steps = self.fleet.query_operator(owner, "/state")["steps"]
            return any(
                step["unfilled"] <= unfilled and not step["unreplicated"]
                for step in steps
            )

        wait_until(reached, 20, f"{unfilled} slots are unfilled")

    def owner(self) -> DaemonProcess:
        """Return the daemon that owns the running step."""
        name = f"roads/warnings/{self.steps}"
        for daemon in self.fleet.daemons:
            state = self.fleet.query_operator(daemon, "/state") or {"steps": []}
            if any(step["step"] == name for step in state["steps"]):
                return daemon
        raise LookupError(f"no daemon owns {name}")

    def slow(self, token_time: float) -> None:
        """Make all engines generate at another speed."""
        for name, address in self.engines.items():
            if name not in self.lost_engines:
                body = {"token_time": token_time}
                call_json("POST", f"http://{address}/configure", body, timeout=2)

    @contextmanager
    def changing_weights(self, period: float) -> Iterator[None]:
        """Publish and announce new weights periodically."""
        client = TrainerClient(
            [daemon.url for daemon in self.fleet.daemons],
            self.key,
            "announcer",
            "drafting",
            lambda: self.version,
        )

        def change() -> None:
            while True:
                eventlet.sleep(period)
                url = f"{self.fleet.platform_url}/weights/drafting"
                call_json("PUT", url, {"version": self.version + 1}, timeout=2)
                client.announce("drafting", self.version + 1)
                self.version += 1

        thread = eventlet.spawn(change)
        try:
            yield
        finally:
            thread.kill()
