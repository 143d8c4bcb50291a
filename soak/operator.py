"""Operator actions during traffic: table changes and key withdrawals."""

import time

import eventlet
import urllib3
from urllib3.exceptions import HTTPError

from mulberryport.outcomes import Done
from mulberryport.tables import (
    Accepted,
    change_tables,
    issue_key,
    key_digest,
    new_change_id,
    parse_tables,
    with_keys_of,
    withdraw_key,
)

from .fleet_run import SoakRun, render_tables_text

__all__ = ["change_tables_repeatedly", "check_revision_order", "check_key_withdrawal"]

KEY_WITHDRAWAL_BOUND_S = 5.0
PROPAGATION_BOUND_S = 5.0


def change_tables_repeatedly(run: SoakRun) -> None:
    """Change routes, pools and weights until the run ends."""
    while run.is_running:
        eventlet.sleep(run.generator.uniform(0.5, 2.0))
        weight, has_spare_route = (
            run.generator.randrange(1, 9),
            run.generator.random() < 0.5,
        )
        tables = parse_tables(
            render_tables_text(run, weight, has_spare_route), "soak tables"
        )
        outcome = change_tables(
            run.fleet.store,
            lambda current, tables=tables: with_keys_of(tables, current),
            change_id=new_change_id(),
        )
        if isinstance(outcome, Done) and isinstance(outcome.value, Accepted):
            run.accepted_revision_count += 1
            _check_propagation(run, outcome.value.revision)


def _check_propagation(run: SoakRun, revision: int) -> None:
    """Check that daemons without a recent fault adopt a revision within the bound."""
    accepted_at = time.time()
    eventlet.sleep(PROPAGATION_BOUND_S)
    if any("store" in fault for fault in run.fault_log[-2:]):
        return
    for daemon in run.fleet.daemons:
        disturbed_until = run.disturbed_until.get(daemon.vm, 0.0)
        if disturbed_until > accepted_at - 2 * PROPAGATION_BOUND_S:
            continue
        state = run.fleet.query_operator(daemon, "/state")
        if state and state["revision"] < revision:
            run.record_violation(
                14, f"{daemon.vm} has {state['revision']}, not {revision}"
            )


def check_revision_order(run: SoakRun) -> None:
    """Check that the revision of a daemon never decreases."""
    highest: dict[str, int] = {}
    while run.is_running:
        for daemon in run.fleet.daemons:
            state = run.fleet.query_operator(daemon, "/state")
            # A daemon that has just started has not adopted a revision yet.
            if not state or not state["revision"]:
                continue
            if state["revision"] < highest.get(daemon.vm, 0):
                run.record_violation(14, f"{daemon.vm} reverted to {state['revision']}")
            highest[daemon.vm] = state["revision"]
        eventlet.sleep(0.2)


def check_key_withdrawal(run: SoakRun) -> None:
    """Issue and withdraw a key, and check that daemons refuse it within the bound."""
    while run.is_running:
        key, outcome = issue_key(run.fleet.store, "hauliers", change_id=new_change_id())
        if not isinstance(outcome, Done):
            eventlet.sleep(1.0)
            continue
        eventlet.sleep(run.generator.uniform(0.5, 2.0))
        if not _withdraw_until_accepted(run, key_digest(key)[:12]):
            return
        eventlet.sleep(KEY_WITHDRAWAL_BOUND_S)
        for daemon in run.fleet.daemons:
            _check_key_refused(run, daemon.vm, daemon.url, key)


def _withdraw_until_accepted(run: SoakRun, key_id: str) -> bool:
    """Withdraw a key, retrying while the store fails; return whether it succeeded."""
    while run.is_running:
        try:
            outcome = withdraw_key(run.fleet.store, key_id, change_id=new_change_id())
        except LookupError:
            return True  # An earlier attempt took effect; its answer was lost.
        if isinstance(outcome, Done) and isinstance(outcome.value, Accepted):
            return True
        eventlet.sleep(0.5)
    return False


def _check_key_refused(run: SoakRun, vm: str, url: str, key: str) -> None:
    try:
        reply = urllib3.PoolManager().request(
            "GET",
            f"{url}/filing/withdrawn",
            headers={"Authorization": f"Bearer {key}"},
            timeout=5.0,
            retries=False,
        )
    except (HTTPError, OSError, EOFError):
        return
    if reply.status == 200:
        run.record_violation(
            6, f"{vm} accepted a key that was withdrawn {KEY_WITHDRAWAL_BOUND_S} s ago"
        )
