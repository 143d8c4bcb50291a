"""The operator: edits the tables and withdraws keys while traffic runs."""

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

from .scene import Scene, render_tables_text

__all__ = ["edit_tables", "watch_revisions", "withdraw_keys"]

KEY_BOUND_S = 5.0
CONFIGURATION_BOUND_S = 5.0


def edit_tables(scene: Scene) -> None:
    """Change routes, pools and weights again and again."""
    while scene.running:
        eventlet.sleep(scene.generator.uniform(0.5, 2.0))
        weight, spare = scene.generator.randrange(1, 9), scene.generator.random() < 0.5
        tables = parse_tables(render_tables_text(scene, weight, spare), "soak tables")
        outcome = change_tables(
            scene.fleet.store,
            lambda current, tables=tables: with_keys_of(tables, current),
            change_id=new_change_id(),
        )
        if isinstance(outcome, Done) and isinstance(outcome.value, Accepted):
            scene.revisions += 1
            _expect_everywhere(scene, outcome.value.revision)


def _expect_everywhere(scene: Scene, revision: int) -> None:
    """Check that undisturbed daemons have a revision within the bound."""
    accepted_at = time.time()
    eventlet.sleep(CONFIGURATION_BOUND_S)
    if any("store" in fault for fault in scene.faults[-2:]):
        return
    for daemon in scene.fleet.daemons:
        disturbed = scene.disturbed.get(daemon.vm, 0.0)
        if disturbed > accepted_at - 2 * CONFIGURATION_BOUND_S:
            continue
        state = scene.fleet.query_operator(daemon, "/state")
        if state and state["revision"] < revision:
            scene.violate(14, f"{daemon.vm} has {state['revision']}, not {revision}")


def watch_revisions(scene: Scene) -> None:
    """Check that no daemon goes back to a lower revision."""
    newest: dict[str, int] = {}
    while scene.running:
        for daemon in scene.fleet.daemons:
            state = scene.fleet.query_operator(daemon, "/state")
            # A daemon that has just started has nothing in force yet.
            if not state or not state["revision"]:
                continue
            if state["revision"] < newest.get(daemon.vm, 0):
                scene.violate(14, f"{daemon.vm} reverted to {state['revision']}")
            newest[daemon.vm] = state["revision"]
        eventlet.sleep(0.2)


def withdraw_keys(scene: Scene) -> None:
    """Issue a key, use it, withdraw it, and check that it stops working."""
    while scene.running:
        key, outcome = issue_key(
            scene.fleet.store, "hauliers", change_id=new_change_id()
        )
        if not isinstance(outcome, Done):
            eventlet.sleep(1.0)
            continue
        eventlet.sleep(scene.generator.uniform(0.5, 2.0))
        if not _withdraw(scene, key_digest(key)[:12]):
            return
        eventlet.sleep(KEY_BOUND_S)
        for daemon in scene.fleet.daemons:
            _expect_refusal(scene, daemon.vm, daemon.url, key)


def _withdraw(scene: Scene, key_id: str) -> bool:
    """Withdraw a key, repeating it while the store fails; true once it is done."""
    while scene.running:
        try:
            outcome = withdraw_key(scene.fleet.store, key_id, change_id=new_change_id())
        except LookupError:
            return True  # An earlier attempt whose answer was lost took effect.
        if isinstance(outcome, Done) and isinstance(outcome.value, Accepted):
            return True
        eventlet.sleep(0.5)
    return False


def _expect_refusal(scene: Scene, vm: str, url: str, key: str) -> None:
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
        scene.violate(6, f"{vm} accepted a key that was withdrawn {KEY_BOUND_S} s ago")
