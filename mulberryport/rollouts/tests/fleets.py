"""Fleets of processes, and trainers that verify samples against the engines' logs."""

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

__all__ = ["SampleVerifier", "LossyClient", "running_fleet"]

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
def running_fleet() -> Iterator["SampleVerifier"]:
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
            yield SampleVerifier(fleet, engines, scorer, key)
        except BaseException:
            for file in sorted(Path(folder).glob("*.out")):
                print(f"--- {file.name}\n{file.read_text()[-1500:]}")
            raise
        finally:
            fleet.close()


@define(eq=False)
class LossyClient(TrainerClient):
    """Client that loses responses at random, after the call has taken effect."""

    loss: float = 0.0
    source: random.Random = field(factory=lambda: random.Random(7))

    def _call(self, method: str, path: str, body: object) -> JsonReply | None:
        reply = TrainerClient._call(self, method, path, body)
        lost = method != "DELETE" and self.source.random() < self.loss
        return None if lost else reply


@define(eq=False)
class SampleVerifier:
    """Runs steps and verifies each sample against the logs of the engines."""

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
        during: Callable[[int, "SampleVerifier"], None] = lambda count, verifier: None,
        *,
        loss: float = 0.0,
        scoring_route: str = "",
    ) -> dict[tuple[int, int], ReceivedSample]:
        """Run a step; ``during`` is called with the number of samples received so far.

        Verifies that each slot is delivered exactly once, complete, within the
        staleness bound, and with the weight versions that the engines logged.
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
        attested = self.attested_tokens()
        for (group, index), sample in samples.items():
            prompt = f"{groups[group].prompt}#{index}"
            assert list(sample.tokens) == expected_tokens(prompt, TOKENS)
            if self.lost_engines & set(sample.target.split(",")):
                continue
            versions = [v for v, count in sample.versions for _ in range(count)]
            for position, version in enumerate(versions):
                assert (prompt, position, version) in attested
        return samples

    def attested_tokens(self) -> set[tuple[str, int, int]]:
        """Return prompt, position and weight version of all generated tokens."""
        return {
            (request["prompt"], offset + n, version)
            for request in self.logged_requests()
            for offset, count, version in request["produced"]
            for n in range(count)
        }

    def logged_requests(self) -> list[dict[str, Any]]:
        """Return all requests in the logs of the engines."""
        logged = []
        for name, address in self.engines.items():
            if name not in self.lost_engines:
                reply = call_json("GET", f"http://{address}/log", timeout=5)
                logged.extend(reply.value.body["requests"])
        return logged

    def wait_unfilled(self, owner: DaemonProcess, unfilled: int) -> None:
        """Wait until few slots are unfilled and all finished samples are replicated."""

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

    def set_token_time(self, token_time: float) -> None:
        """Set the time per token of all engines."""
        for name, address in self.engines.items():
            if name not in self.lost_engines:
                body = {"token_time": token_time}
                call_json("POST", f"http://{address}/configure", body, timeout=2)

    @contextmanager
    def changing_weights(self, period: float) -> Iterator[None]:
        """Publish and announce a new weight version periodically."""
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
