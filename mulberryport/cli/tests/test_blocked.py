"""Tests of the commands for blocked requests, against daemons in processes."""

from contextlib import contextmanager

import orjson
import pytest

from ...peering.tests.builders import wait_for
from ...platform.settings import PEER_TOKEN as PLATFORM_PEER_TOKEN
from ...platform.tests.builders import running
from ...quarantine.tests.builders import (
    IDENTITY,
    OTHER_IDENTITY,
    CrashNode,
    crash_targets,
    make_crash,
)
from ...runtime import boottime
from ...settings.tests.builders import settings_text
from ...standins.fleet import PEER_TOKEN, Fleet
from .test_program import run_program

TARGETS = ["t0", "t1", "t2"]


@contextmanager
def reporting_peer(token, addresses):
    """Run a peer of some daemons that reports a blocked and a suspect request."""
    node = CrashNode("vm0", token)
    try:
        node.server.start()
        for number, address in enumerate(addresses, 1):
            node.members.add_seed(f"vm{number}", "rosario", address)
        now = boottime()
        for number, target in enumerate(TARGETS):
            crash_targets(node.table, make_crash(target, now - 10 * number))
        crash_targets(node.table, make_crash("t9", now), identity=OTHER_IDENTITY)
        node.peers.update_heartbeat_tasks()
        wait_for(lambda: len(node.heard_at) == len(addresses), 10)
        yield node
    finally:
        node.peers.stop()
        node.server.stop()


def list_requests(*arguments):
    """Return the lists of requests by daemon."""
    code, output, error = run_program("blocked", "list", "--json", *arguments)
    assert code == 0, error
    return orjson.loads(output)


def test_list_and_lift_at_daemons_with_an_operator_port(tmp_path):
    # Guards against operators who cannot see or end a block, and against a lift that
    # holds at the daemon that was asked only.
    fleet = Fleet(tmp_path)
    try:
        fleet.start_platform()
        fleet.add_daemons(["rosario", "parana"])
        fleet.start_daemons()
        files = [str(daemon.settings_file) for daemon in fleet.daemons]
        addresses = [daemon.peer_address for daemon in fleet.daemons]
        with reporting_peer(PEER_TOKEN, addresses) as node:
            for entries in list_requests(*files).values():
                assert [e["identity"] for e in entries] == [
                    IDENTITY.hex(),
                    OTHER_IDENTITY.hex(),
                ]
                assert [e["blocked"] for e in entries] == [True, False]
                assert entries[0]["targets"] == TARGETS
            code, output, _ = run_program("blocked", "list", *files)
            assert code == 0
            assert f"{IDENTITY.hex()} blocked at 2 of 2 daemons: route chat" in output
            code, output, error = run_program(
                "blocked", "lift", files[1], IDENTITY.hex()
            )
            assert (code, output) == (0, f"lifted {IDENTITY.hex()}\n"), error
            wait_for(lambda: not node.table.is_blocked(IDENTITY, boottime()), 5)
            for entries in list_requests(*files).values():
                assert [e["identity"] for e in entries] == [OTHER_IDENTITY.hex()]
            code, output, error = run_program(
                "blocked", "lift", files[0], IDENTITY.hex()
            )
            assert (code, output) == (1, "")
            assert "nothing was lifted: no crash of this request is known" in error
        log = fleet.daemons[0].log_file.read_text()
        for event in ("request_block_learned", "request_block_lifted"):
            assert f'"event":"{event}"' in log.replace(": ", ":")
    finally:
        fleet.close()


def test_list_and_lift_at_entry_daemons_of_the_platform(tmp_path):
    # Guards against blocks that nobody can end where there is no operator port.
    with running(tmp_path, "vm1") as platform:
        address = platform._peers[0]
        with reporting_peer(PLATFORM_PEER_TOKEN, [address]) as node:
            entries = list_requests("--peer", address)[address]
            assert [e["blocked"] for e in entries] == [True, False]
            code, output, error = run_program(
                "blocked", "lift", "--peer", address, IDENTITY.hex(), "--json"
            )
            assert code == 0, error
            assert orjson.loads(output) == {"lifted": IDENTITY.hex()}
            wait_for(lambda: not node.table.is_blocked(IDENTITY, boottime()), 5)
            code, _, error = run_program(
                "blocked", "lift", "--peer", address, IDENTITY.hex()
            )
            assert code == 1 and "no crash of this request is known" in error


@pytest.mark.parametrize(
    ("arguments", "code", "message"),
    [
        (["list"], 2, "SETTINGS"),
        (["list", "none.ini"], 1, "none.ini"),
        (["list", "--peer", "nowhere"], 2, "--peer: 'nowhere' is not an address"),
        (["list", "--peer", "127.0.0.1:1"], 1, "127.0.0.1:1: cannot be read"),
        (["lift", "--peer", "127.0.0.1:1", "00" * 16], 1, "nothing was lifted"),
        (["lift", "--peer", "127.0.0.1:1", "00"], 2, "32 hex digits"),
    ],
)
def test_errors_are_clear(arguments, code, message):
    # Guards against scripts that take a failure for an empty list.
    result, _, error = run_program("blocked", *arguments)
    assert result == code
    assert message in error
    assert "Traceback" not in error


def test_daemon_that_is_down_is_reported(tmp_path):
    # Guards against a lift that is reported though no daemon got it.
    settings = tmp_path / "daemon.ini"
    settings.write_text(settings_text().replace("127.0.0.1:8002", "127.0.0.1:1"))
    code, output, error = run_program("blocked", "list", settings)
    assert code == 1 and f"{settings}: cannot be read" in error
    assert "no request is blocked" not in output
    code, output, error = run_program("blocked", "lift", settings, "00" * 16)
    assert (code, output) == (1, "") and "nothing was lifted" in error
