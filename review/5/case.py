"""Jobs that only disks keep are unknown to daemons that the store serves."""

import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from harness.fleet import HOST_NAME, Fleet, Record, has_trouble, main, make_item
from harness.targets import Engine, Service

ZONES = {
    "front-cartagena-1": "cartagena",
    "front-cartagena-2": "cartagena",
    "front-barranquilla-1": "barranquilla",
    "front-barranquilla-2": "barranquilla",
    "front-santa-marta-1": "santa-marta",
    "front-santa-marta-2": "santa-marta",
}
STORAGE_ZONES = {
    "storage-cartagena-1": "cartagena",
    "storage-barranquilla-1": "barranquilla",
    "storage-santa-marta-1": "santa-marta",
}
TENANTS = {f"tenant{number}": f"key{number}" * 4 for number in range(8)}
PREFIX = "/pule252/"
CUT_S = 8.0
SETTLE_S = 1.0
READ_S = 3.0
ROUNDS = 3
PAUSE_S = 8.0
# Period in which daemons renew their leases in the store.
RENEWAL_S = 0.75


def make_configuration() -> dict:
    """Return the operator's configuration."""
    route = {
        "host": HOST_NAME,
        "timeout-ms": 10_000,
        "latency-target-ms": 400,
        "priority": 1,
        "public": False,
    }
    return {
        "version": 1,
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
                "service": "booking",
                "max-attempts": 4,
                "public": True,
                "timeout-ms": 3000,
            },
        ],
        "services": [
            {
                "name": "engines",
                "health-path": "/health",
                "max-conns": 180,
                "protocol": "h1",
                "tls": False,
                "engine": {"slots": 16, "models": [{"name": "m"}]},
            },
            {"name": "booking", "health-path": "/health", "max-conns": 110},
        ],
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 33554432,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
        },
        "tenants": [
            {"name": name, "api-keys": [key], "priority": 1}
            for name, key in TENANTS.items()
        ],
    }


def items_of(job: str) -> list[dict]:
    """Return the items of a job."""
    return [
        make_item(f"{job}i{n}", f"{PREFIX}3/91c4", f"{job}g", "/pufi791/5e07")
        for n in range(4)
    ]


def run(fleet: Fleet, record: Record) -> bool:
    """Play the case."""
    fleet.store.put("op/config", make_configuration())
    for n, zone in enumerate(["cartagena", "cartagena", "barranquilla", "santa-marta"]):
        Engine(fleet.store, f"e{n}", "engines", zone, record, events=22)
        Service(fleet.store, f"b{n}", "booking", zone, record)
    fleet.add_entries(ZONES)
    fleet.add_storages(STORAGE_ZONES)
    fleet.start_all()
    time.sleep(4.0)
    owners: dict[str, str] = {}
    for tenant, key in TENANTS.items():
        job = f"warm{tenant}"
        reply = fleet.submit("front-cartagena-1", job, key, PREFIX, items_of(job))
        if reply.status != 202:
            raise RuntimeError(f"a calm job got {reply.status}")
        value = fleet.store.keys("mulberryport/live/owner/")
        owner = value.get(f"mulberryport/live/owner/{job}", b"").decode().split(" ")[0]
        owners[tenant] = owner
    record("owners", **owners)
    time.sleep(3.0)
    keys: dict[str, list[str]] = {}
    for tenant, vm in owners.items():
        keys.setdefault(vm, []).append(TENANTS[tenant])
    return any(play_round(fleet, record, keys, number) for number in range(ROUNDS))


def play_round(
    fleet: Fleet, record: Record, keys: dict[str, list[str]], number: int
) -> bool:
    """Turn two daemons away, submit jobs at one of them, and read them elsewhere."""
    vm, relay = choose_pair(fleet, keys)
    reader = next(v for v, zone in ZONES.items() if zone != ZONES[vm])
    record("turned-away", vm=vm, also=relay, reader=reader)
    cut = [fleet.entries[vm].store, fleet.entries[relay].store] if has_trouble() else []
    for proxy in cut:
        proxy.is_silent = True
    started_at = record.now
    if cut:
        program, known = fleet.entries[vm], fleet.log(fleet.entries[vm])
        lost = known.count("store_path_lost") + 1
        fleet.wait(
            lambda: fleet.log(program).count("store_path_lost") >= lost,
            5.0,
            "the loss of the store",
            0.02,
        )
        record("path-lost", vm=vm)
    broken: list[str] = []
    threads = []
    for lot in range(10):
        key, job = keys[vm][lot % len(keys[vm])], f"lot{number}{lot}"
        arguments = (fleet, record, vm, reader, job, key, broken)
        threads.append(threading.Thread(target=watch_job, args=arguments))
        threads[-1].start()
        time.sleep(0.1)
    for thread in threads:
        thread.join()
    time.sleep(max(0.0, started_at + CUT_S - record.now))
    for proxy in cut:
        proxy.is_silent = False
    record("healed")
    time.sleep(PAUSE_S)
    return bool(broken)


def choose_pair(fleet: Fleet, keys: dict[str, list[str]]) -> tuple[str, str]:
    """Return a daemon that jobs prefer, and the peer that it asks first for its calls.

    Returns just after a renewal of the peer, so that the daemon renews its lease first
    and notices the loss of the store before its peer does. The holder of the control
    duty is no such peer, since it calls the store more often.
    """
    duty = fleet.store.keys("mulberryport/live/duty/")
    holders = {value.decode().partition(" ")[0] for value in duty.values()}
    pairs = []
    for vm in keys:
        peer = next(v for v, z in ZONES.items() if z == ZONES[vm] and v != vm)
        if peer not in holders:
            pairs.append((vm, peer))
    if not pairs:
        raise RuntimeError("no job prefers a daemon with such a peer")

    def lead(pair: tuple[str, str]) -> float:
        first, second = (fleet.entries[vm].store.renewed_at for vm in pair)
        return (second - first) % RENEWAL_S

    pair = max(pairs, key=lead)
    relay = fleet.entries[pair[1]].store
    seen = relay.renewed_at
    fleet.wait(lambda: relay.renewed_at != seen, 5.0, "a renewal", 0.005)
    return pair


def watch_job(
    fleet: Fleet,
    record: Record,
    vm: str,
    reader: str,
    job: str,
    key: str,
    broken: list[str],
) -> None:
    """Submit a job and read it at a daemon that the store serves."""
    reply = fleet.submit(vm, job, key, PREFIX, items_of(job))
    if reply.status != 202:
        return
    accepted_at = record.now
    while record.now < accepted_at + READ_S:
        sent_at = record.now
        reply = fleet.call(
            reader,
            "GET",
            f"/mulberryport/lots/{job}?after=0",
            key,
            f"r{job}",
        )
        if reply.status == 404 and sent_at > accepted_at + SETTLE_S:
            broken.append(job)
            record("LOST", job=job, after_s=round(sent_at - accepted_at, 3))
        time.sleep(0.1)


if __name__ == "__main__":
    main(str(Path(__file__).parent), run)
