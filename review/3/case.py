"""A daemon that keeps an old configuration after the store has turned it away."""

import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from harness.fleet import HOST_NAME, Fleet, Program, Record, has_trouble, main
from harness.targets import Service

ZONES = {
    "front-cartagena-1": "cartagena",
    "front-cartagena-2": "cartagena",
    "front-barranquilla-1": "barranquilla",
    "front-barranquilla-2": "barranquilla",
    "front-santa-marta-1": "santa-marta",
    "front-santa-marta-2": "santa-marta",
}
SERVICE_ZONES = ["cartagena", "barranquilla", "santa-marta"]
OLD_KEY, KEPT_KEY = "oldkey" * 4, "keptkey" * 3
LOOKUP_PREFIX, ADDED_PREFIX = "/lohu930/", "/vima114/"
# Seconds for which the store turns the daemon away, and for which its machine freezes.
CUT_S, FREEZE_S = 8.0, 1.2
# Period in which a daemon renews its lease, and time after which a call to the store
# counts as lost.
RENEWAL_S, CALL_TIMEOUT_S = 0.75, 1.0
# config-apply-ms and contact-ms, and some seconds more.
APPLY_S, CONTACT_S, MARGIN_S = 2.0, 3.0, 2.0
CHECK_S = 5.0
ROUNDS = 3


def make_configuration(version: int, keys: list[str], prefixes: list[str]) -> dict:
    """Return the operator's configuration."""
    return {
        "version": version,
        "routes": [
            {
                "name": f"route{prefix.strip('/')}",
                "host": HOST_NAME,
                "prefix": prefix,
                "kind": "idempotent",
                "timeout-ms": 2000,
                "latency-target-ms": 150,
                "priority": 2,
                "service": "booking",
                "max-attempts": 2,
                "public": False,
            }
            for prefix in prefixes
        ],
        "services": [
            {"name": "booking", "health-path": "/health", "max-conns": 110},
        ],
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 33554432,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
        },
        "tenants": [{"name": "tenant0", "api-keys": keys, "priority": 1}],
    }


def run(fleet: Fleet, record: Record) -> bool:
    """Play the case."""
    fleet.store.put("op/config", make_configuration(2, [KEPT_KEY], [LOOKUP_PREFIX]))
    for n, zone in enumerate(SERVICE_ZONES):
        Service(fleet.store, f"b{n}", "booking", zone, record)
    fleet.add_entries(ZONES)
    fleet.start_all()
    time.sleep(5.0)
    return any(play_round(fleet, record, number) for number in range(ROUNDS))


def play_round(fleet: Fleet, record: Record, number: int) -> bool:
    """Turn a daemon away and freeze it; return whether it keeps its configuration."""
    vm = list(ZONES)[number]
    program, version = fleet.entries[vm], 10 * (number + 1)
    keys = [KEPT_KEY, f"{OLD_KEY}{number}"]
    fleet.store.put("op/config", make_configuration(version, keys, [LOOKUP_PREFIX]))
    time.sleep(APPLY_S + 1.0)
    if look_up(fleet, vm, LOOKUP_PREFIX, keys[1], f"warm{number}") != 200:
        raise RuntimeError("the key is not in force")
    cut_at = cut_after_renewal(program, record)
    # The next renewal is not answered. The configuration changes while it waits, so
    # that peers report a newer one before the daemon gives the renewal up.
    wait_until(cut_at + RENEWAL_S + 0.45)
    prefixes = [LOOKUP_PREFIX, f"{ADDED_PREFIX}{number}/"]
    fleet.store.put("op/config", make_configuration(version + 5, [KEPT_KEY], prefixes))
    record("configured", version=version + 5)
    wait_until(cut_at + RENEWAL_S + CALL_TIMEOUT_S - 0.1)
    if has_trouble():
        fleet.signal(program, signal.SIGSTOP)
    time.sleep(FREEZE_S)
    if has_trouble():
        fleet.signal(program, signal.SIGCONT)
    wait_until(cut_at + CUT_S)
    program.store.is_silent = False
    record("healed", vm=vm)
    time.sleep(CONTACT_S + MARGIN_S)
    return is_stale(fleet, record, vm, keys[1], prefixes[1])


def cut_after_renewal(program: Program, record: Record) -> float:
    """Silence a daemon's path to the store after a renewal; return when it was."""
    seen = program.store.renewed_at
    while program.store.renewed_at == seen:
        time.sleep(0.002)
    time.sleep(0.05)
    program.store.is_silent = has_trouble()
    record("turned-away", vm=program.vm)
    return program.store.renewed_at


def wait_until(moment: float) -> None:
    """Sleep until a moment on the monotonic clock."""
    time.sleep(max(0.0, moment - time.monotonic()))


def is_stale(fleet: Fleet, record: Record, vm: str, key: str, prefix: str) -> bool:
    """Whether requests at a daemon are handled as only the old configuration allows."""
    stale = 0
    deadline = time.monotonic() + CHECK_S
    while time.monotonic() < deadline:
        request = f"late{stale}{int(time.monotonic() * 1000)}"
        dropped = look_up(fleet, vm, LOOKUP_PREFIX, key, f"{request}a")
        added = look_up(fleet, vm, prefix, KEPT_KEY, f"{request}b")
        if dropped == 200 or added == 404:
            stale += 1
            record("CONFIG", vm=vm, dropped_key=dropped, added_route=added)
        time.sleep(0.5)
    return stale > 0


def look_up(fleet: Fleet, vm: str, prefix: str, key: str, request: str) -> int:
    """Send a request of a client and return the status."""
    reply = fleet.call(
        vm, "POST", f"{prefix}2f", key, request, b"lookup", X_Deadline_Ms="2000"
    )
    return reply.status


if __name__ == "__main__":
    main(str(Path(__file__).parent), run)
