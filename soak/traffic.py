"""Callers and trainers: what they send, and what they saw."""

import time
from collections.abc import Callable
from functools import partial

import eventlet
import orjson
import urllib3
from urllib3.exceptions import HTTPError

from mulberryport.client import Group, StepFailedError, TrainerClient
from mulberryport.runtime.http import call_json
from mulberryport.standins import expected_tokens

from .scene import STALENESS_BOUND, Call, Scene

__all__ = ["ask_readiness", "call_service", "generate_live", "run_trainer"]

TIMEOUT_S = 30.0
STEP_DEADLINE_S = 90.0
READINESS_PERIOD_S = 0.25
OUTCOME_HEADER = "X-Mulberryport-Outcome"


def ask_readiness(scene: Scene) -> None:
    """Ask each daemon for its readiness, as a balancer does."""
    while scene.running:
        for daemon in scene.fleet.daemons:
            body = scene.fleet.query_operator(daemon, "/readyz")
            scene.ready[daemon.vm] = bool(body and body["ready"])
        eventlet.sleep(READINESS_PERIOD_S)


def call_service(scene: Scene) -> None:
    """Send non-idempotent calls, some of them with an idempotency key."""
    while scene.running:
        eventlet.sleep(scene.generator.uniform(0.0, 0.1))
        number = len(scene.calls)
        kind = scene.generator.choice(("filing", "filing", "notes", "stranger"))
        headers = {}
        if kind == "filing":
            headers["Authorization"] = f"Bearer {scene.keys['hauliers']}"
        elif kind == "stranger":
            # The key of a workspace that the route does not admit.
            headers["X-Api-Key"] = scene.keys["roads"]
        path = "/notes/" if kind == "notes" else "/filing/"
        call_id = f"call{number}"
        if kind == "filing" and scene.generator.random() < 0.3:
            headers["Idempotency-Key"] = call_id
        call = _send(scene, call_id, kind, path, headers)
        if "Idempotency-Key" in headers and call.result in ("unknown", "broken"):
            headers["Mulberryport-Attempt"] = "2"
            _send(scene, call_id, kind, path, headers)


def _send(
    scene: Scene, call_id: str, kind: str, path: str, headers: dict[str, str]
) -> Call:
    daemon = scene.pick_daemon()
    call = Call(call_id, kind, daemon.vm if daemon else "", "none", time.time())
    scene.calls.append(call)
    if daemon is None:
        return call

    def run() -> str:
        reply = urllib3.PoolManager().request(
            "POST",
            f"{daemon.url}{path}{call_id}",
            body=call_id.encode() * 10,
            headers=headers,
            timeout=TIMEOUT_S,
            retries=False,
        )
        if reply.status == 200:
            body = orjson.loads(reply.data)
            right = body["path"] == path + call_id
            right &= body["size"] == len(call_id) * 10
            return "whole" if right else "wrong"
        call.detail = f"{reply.status} {reply.data[:200]!r}"
        return reply.headers.get(OUTCOME_HEADER, "unmarked")

    _record(call, run)
    return call


def generate_live(scene: Scene) -> None:
    """Send live generations and check that their answers are whole."""
    while scene.running:
        eventlet.sleep(scene.generator.uniform(0.0, 0.2))
        daemon = scene.pick_daemon()
        if daemon is None:
            continue
        call_id = f"prompt{len(scene.calls)}"
        call = Call(call_id, "generation", daemon.vm, "none", time.time())
        scene.calls.append(call)
        count = scene.generator.randrange(1, 120)
        _record(call, partial(_generate, scene, daemon.url, call, count))


def _generate(scene: Scene, url: str, call: Call, count: int) -> str:
    reply = urllib3.PoolManager().request(
        "POST",
        f"{url}/drafting/",
        json={"prompt": call.id, "max_tokens": count},
        headers={"Authorization": f"Bearer {scene.keys['roads']}"},
        timeout=TIMEOUT_S,
        retries=False,
    )
    if reply.status != 200:
        call.detail = f"{reply.status} {reply.data[:200]!r}"
        return reply.headers.get(OUTCOME_HEADER, "unmarked")
    lines = [orjson.loads(line) for line in reply.data.splitlines()]
    if not lines or not lines[-1].get("done"):
        call.detail = f"no end marker: {lines[-1:]}"
        return "unknown"
    tokens = [token for line in lines for token in line.get("tokens", ())]
    return "whole" if tokens == expected_tokens(call.id, count) else "wrong"


def _record(call: Call, run: Callable[[], str]) -> None:
    try:
        call.result = run()
    except (HTTPError, OSError, EOFError) as error:
        call.result, call.detail = "broken", repr(error)
    call.ended = time.time()


def run_trainer(scene: Scene, trainer: str) -> None:
    """Run steps one after another, and check each sample."""
    step = 0
    while scene.running:
        step += 1
        client = TrainerClient(
            [daemon.url for daemon in scene.fleet.daemons],
            scene.keys["roads"],
            trainer,
            "drafting",
            lambda: scene.version,
        )
        try:
            _run_step(scene, client, f"{trainer} {step}", step)
        except StepFailedError as error:
            scene.violate(3, f"step {trainer}/{step} failed: {error}")


def _run_step(scene: Scene, client: TrainerClient, name: str, step: int) -> None:
    groups = [Group(f"{name} group {n}", 4, 60) for n in range(6)]
    seen = set()
    samples = client.run_step(
        step, groups, staleness_bound=STALENESS_BOUND, deadline=STEP_DEADLINE_S
    )
    for sample in samples:
        slot = (sample.group, sample.index)
        if slot in seen:
            scene.violate(3, f"slot {slot} of step {name} came twice")
        seen.add(slot)
        prompt = f"{groups[sample.group].prompt}#{sample.index}"
        if list(sample.tokens) != expected_tokens(prompt, 60):
            scene.violate(9, f"slot {slot} of step {name} has other tokens")
        versions = [version for version, _ in sample.versions]
        if sum(count for _, count in sample.versions) != len(sample.tokens):
            scene.violate(1, f"slot {slot} of {name}: spans {sample.versions}")
        if min(versions) < scene.version - STALENESS_BOUND:
            scene.violate(2, f"slot {slot} of {name}: {versions} at {scene.version}")
        scene.samples += 1
    if len(seen) != 24:
        scene.violate(3, f"step {name} ended with {len(seen)} of 24 samples")
    scene.steps += 1


def raise_version(scene: Scene) -> None:
    """Publish a new weight version every few seconds and announce it."""
    client = TrainerClient(
        [daemon.url for daemon in scene.fleet.daemons],
        scene.keys["roads"],
        "weights",
        "drafting",
        lambda: scene.version,
    )
    while scene.running:
        eventlet.sleep(scene.generator.uniform(2.0, 5.0))
        version = scene.version + 1
        url = f"{scene.fleet.platform_url}/weights/drafting"
        call_json("PUT", url, {"version": version}, timeout=2)
        if client.announce("drafting", version):
            scene.version = version
