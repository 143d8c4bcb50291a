"""Traffic of callers and trainers, with checks of each answer."""

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

from .fleet_run import STALENESS_BOUND, Call, SoakRun

__all__ = [
    "poll_readiness",
    "send_service_calls",
    "send_live_generations",
    "run_trainer",
]

REQUEST_TIMEOUT_S = 30.0
STEP_TIMEOUT_S = 90.0
READINESS_PERIOD_S = 0.25
OUTCOME_HEADER = "X-Mulberryport-Outcome"


def poll_readiness(run: SoakRun) -> None:
    """Poll the readiness of each daemon, as a load balancer does."""
    while run.is_running:
        for daemon in run.fleet.daemons:
            body = run.fleet.query_operator(daemon, "/readyz")
            run.readiness[daemon.vm] = bool(body and body["ready"])
        eventlet.sleep(READINESS_PERIOD_S)


def send_service_calls(run: SoakRun) -> None:
    """Send non-idempotent calls; repeat keyed ones whose outcome is unknown."""
    while run.is_running:
        eventlet.sleep(run.generator.uniform(0.0, 0.1))
        number = len(run.calls)
        kind = run.generator.choice(("filing", "filing", "notes", "stranger"))
        headers = {}
        if kind == "filing":
            headers["Authorization"] = f"Bearer {run.keys['hauliers']}"
        elif kind == "stranger":
            # The key of a workspace that the route does not admit.
            headers["X-Api-Key"] = run.keys["roads"]
        path = "/notes/" if kind == "notes" else "/filing/"
        call_id = f"call{number}"
        if kind == "filing" and run.generator.random() < 0.3:
            headers["Idempotency-Key"] = call_id
        call = _send_service_call(run, call_id, kind, path, headers)
        if "Idempotency-Key" in headers and call.result in ("unknown", "broken"):
            headers["Mulberryport-Attempt"] = "2"
            _send_service_call(run, call_id, kind, path, headers)


def _send_service_call(
    run: SoakRun, call_id: str, kind: str, path: str, headers: dict[str, str]
) -> Call:
    daemon = run.choose_ready_daemon()
    call = Call(call_id, kind, daemon.vm if daemon else "", "none", time.time())
    run.calls.append(call)
    if daemon is None:
        return call

    def send() -> str:
        reply = urllib3.PoolManager().request(
            "POST",
            f"{daemon.url}{path}{call_id}",
            body=call_id.encode() * 10,
            headers=headers,
            timeout=REQUEST_TIMEOUT_S,
            retries=False,
        )
        if reply.status == 200:
            body = orjson.loads(reply.data)
            is_correct = body["path"] == path + call_id
            is_correct &= body["size"] == len(call_id) * 10
            return "whole" if is_correct else "wrong"
        call.detail = f"{reply.status} {reply.data[:200]!r}"
        return reply.headers.get(OUTCOME_HEADER, "unmarked")

    _record_outcome(call, send)
    return call


def send_live_generations(run: SoakRun) -> None:
    """Send live generations and check that their answers are complete."""
    while run.is_running:
        eventlet.sleep(run.generator.uniform(0.0, 0.2))
        daemon = run.choose_ready_daemon()
        if daemon is None:
            continue
        call_id = f"prompt{len(run.calls)}"
        call = Call(call_id, "generation", daemon.vm, "none", time.time())
        run.calls.append(call)
        count = run.generator.randrange(1, 120)
        _record_outcome(call, partial(_send_generation, run, daemon.url, call, count))


def _send_generation(run: SoakRun, url: str, call: Call, count: int) -> str:
    reply = urllib3.PoolManager().request(
        "POST",
        f"{url}/drafting/",
        json={"prompt": call.id, "max_tokens": count},
        headers={"Authorization": f"Bearer {run.keys['roads']}"},
        timeout=REQUEST_TIMEOUT_S,
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


def _record_outcome(call: Call, send: Callable[[], str]) -> None:
    try:
        call.result = send()
    except (HTTPError, OSError, EOFError) as error:
        call.result, call.detail = "broken", repr(error)
    call.ended = time.time()


def run_trainer(run: SoakRun, trainer: str) -> None:
    """Run training steps one after another and check each sample."""
    step = 0
    while run.is_running:
        step += 1
        client = TrainerClient(
            [daemon.url for daemon in run.fleet.daemons],
            run.keys["roads"],
            trainer,
            "drafting",
            lambda: run.weight_version,
        )
        try:
            _run_step(run, client, f"{trainer} {step}", step)
        except StepFailedError as error:
            run.record_violation(3, f"step {trainer}/{step} failed: {error}")


def _run_step(run: SoakRun, client: TrainerClient, name: str, step: int) -> None:
    groups = [Group(f"{name} group {n}", 4, 60) for n in range(6)]
    received_slots = set()
    samples = client.run_step(
        step, groups, staleness_bound=STALENESS_BOUND, deadline=STEP_TIMEOUT_S
    )
    for sample in samples:
        slot = (sample.group, sample.index)
        if slot in received_slots:
            run.record_violation(3, f"slot {slot} of step {name} was received twice")
        received_slots.add(slot)
        prompt = f"{groups[sample.group].prompt}#{sample.index}"
        if list(sample.tokens) != expected_tokens(prompt, 60):
            run.record_violation(9, f"slot {slot} of step {name} has unexpected tokens")
        versions = [version for version, _ in sample.versions]
        if sum(count for _, count in sample.versions) != len(sample.tokens):
            run.record_violation(1, f"slot {slot} of {name}: spans {sample.versions}")
        if min(versions) < run.weight_version - STALENESS_BOUND:
            run.record_violation(
                2, f"slot {slot} of {name}: {versions} at {run.weight_version}"
            )
        run.sample_count += 1
    if len(received_slots) != 24:
        run.record_violation(
            3, f"step {name} ended with {len(received_slots)} of 24 samples"
        )
    run.step_count += 1


def publish_versions(run: SoakRun) -> None:
    """Publish and announce a new weight version every 2 to 5 s."""
    client = TrainerClient(
        [daemon.url for daemon in run.fleet.daemons],
        run.keys["roads"],
        "weights",
        "drafting",
        lambda: run.weight_version,
    )
    while run.is_running:
        eventlet.sleep(run.generator.uniform(2.0, 5.0))
        version = run.weight_version + 1
        url = f"{run.fleet.platform_url}/weights/drafting"
        call_json("PUT", url, {"version": version}, timeout=2)
        if client.announce("drafting", version):
            run.weight_version = version
