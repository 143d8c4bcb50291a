"""A large job that is accepted while the store is down, and is then lost."""

import base64
import json
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from harness.fleet import (
    HOST_NAME,
    Fleet,
    Program,
    Record,
    has_trouble,
    main,
    make_item,
)
from harness.targets import Engine, Service

ZONES = {
    "front-rosario-1": "rosario",
    "front-rosario-2": "rosario",
    "front-parana-1": "parana",
    "front-santa-fe-1": "santa-fe",
}
STORAGE_ZONES = {
    "storage-rosario-1": "rosario",
    "storage-parana-1": "parana",
    "storage-santa-fe-1": "santa-fe",
}
KEY = "key0" * 5
PREFIX, SCORE_PATH = "/pule252/", "/pufi791/5e07"
ITEMS, BODY_BYTES = 48, 307_500
MAX_BODY_BYTES = 33_554_432
# Seconds for which the store is down, and after which the job is submitted.
DOWN_S, SUBMIT_AFTER_S = 6.0, 2.0
CONTACT_S, SETTLE_S, CHECK_S = 3.0, 1.0, 15.0


def make_configuration() -> dict:
    """Return the operator's configuration."""
    route = {
        "host": HOST_NAME,
        "timeout-ms": 10_000,
        "latency-target-ms": 500,
        "priority": 1,
        "public": False,
    }
    return {
        "version": 2,
        "routes": [
            {
                **route,
                "name": "drafts",
                "prefix": PREFIX,
                "kind": "rollout",
                "service": "engines",
                "max-attempts": 3,
                "run-target-ms": 7500,
                "queue-ttl-s": 40,
            },
            {
                **route,
                "name": "score",
                "prefix": "/pufi791/",
                "kind": "idempotent",
                "service": "desk",
                "max-attempts": 4,
                "public": True,
                "timeout-ms": 1500,
            },
        ],
        "services": [
            {
                "name": "engines",
                "health-path": "/health",
                "max-conns": 150,
                "protocol": "h1",
                "tls": False,
                "engine": {"slots": 12, "models": [{"name": "m"}]},
            },
            {"name": "desk", "health-path": "/health", "max-conns": 100},
        ],
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": MAX_BODY_BYTES,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
        },
        "tenants": [{"name": "tenant0", "api-keys": [KEY], "priority": 1}],
    }


def make_items(job: str, body_bytes: int) -> list[dict]:
    """Return the items of a job, each with a body of some size."""
    body = base64.b64encode(bytes(body_bytes)).decode()
    return [
        make_item(f"{job}i{n}", f"{PREFIX}3/91c4", f"{job}g{n // 8}", SCORE_PATH)
        | {"body": body}
        for n in range(ITEMS)
    ]


def peak_mb(program: Program) -> int:
    """Return the largest resident memory of a daemon so far."""
    assert program.process is not None
    status = Path(f"/proc/{program.process.pid}/status").read_text().splitlines()
    lines = [line for line in status if line.startswith("VmHWM")]
    return int(lines[0].split()[1]) // 1024


def run(fleet: Fleet, record: Record) -> bool:
    """Play the case."""
    fleet.store.put("op/config", make_configuration())
    for n, zone in enumerate(["rosario", "rosario", "parana", "santa-fe"]):
        Engine(fleet.store, f"e{n}", "engines", zone, record, slots=12, events=21)
        Service(fleet.store, f"d{n}", "desk", zone, record)
    fleet.add_entries(ZONES)
    fleet.add_storages(STORAGE_ZONES)
    fleet.start_all()
    time.sleep(4.0)
    programs = [*fleet.entries.values(), *fleet.storages.values()]
    down_at = record.now
    for program in programs if has_trouble() else []:
        program.store.refuses = True
        program.store.reset_connections()
    record("store-down", trouble=has_trouble())
    time.sleep(SUBMIT_AFTER_S)
    items = make_items("lot0", BODY_BYTES)
    size = len(json.dumps(items))
    record("job", bytes=size, limit=MAX_BODY_BYTES)
    if size > MAX_BODY_BYTES:
        raise RuntimeError("the job is larger than clients may send")
    accepted = fleet.submit("front-rosario-1", "lot0", KEY, PREFIX, items).status
    accepted_at = record.now
    time.sleep(max(0.0, down_at + DOWN_S - record.now))
    for program in programs:
        program.store.refuses = False
    record("store-up")
    time.sleep(CONTACT_S + SETTLE_S)
    missing = read_everywhere(fleet, record, accepted_at) if accepted == 202 else 0
    record("peaks-mb", **{program.vm: peak_mb(program) for program in programs})
    return missing > 0


def read_everywhere(fleet: Fleet, record: Record, accepted_at: float) -> int:
    """Read the accepted job at all daemons; return how many answers were 404."""
    missing = 0
    deadline = record.now + CHECK_S
    while record.now < deadline:
        for vm in ZONES:
            path = "/mulberryport/lots/lot0?after=0"
            if fleet.call(vm, "GET", path, KEY, "r0").status == 404:
                missing += 1
                after_s = round(record.now - accepted_at, 3)
                record("LOST", vm=vm, after_s=after_s)
        time.sleep(1.0)
    return missing


if __name__ == "__main__":
    main(str(Path(__file__).parent), run)
