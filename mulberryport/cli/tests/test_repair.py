"""Test of the repair of a store from a running daemon."""

from ...outcomes import Done
from ...standins.fleet import Fleet, wait_until
from ...tables import find_key, issue_key, key_digest, read_snapshot, withdraw_key
from ...tables.head import HEAD_KEY
from ...tables.tests.builders import TABLES_TEXT
from .test_program import run_program


def test_repair_keeps_withdrawn_keys_withdrawn(tmp_path):
    # Guards against withdrawn keys that become valid again when the store is restored
    # from an old copy.
    tables = tmp_path / "tables.ini"
    tables.write_text(TABLES_TEXT)
    fleet = Fleet(tmp_path)
    try:
        fleet.start_platform()
        fleet.add_daemons(["rosario"])
        fleet.start_daemons()
        (daemon,) = fleet.daemons
        store_options = ["--settings", daemon.settings_file]
        assert run_program("apply", *store_options, tables)[0] == 0
        store = fleet.store
        withdrawn, _ = issue_key(store, "roads", change_id="a")
        old_head = store.read(HEAD_KEY).value.value
        assert isinstance(
            withdraw_key(store, key_digest(withdrawn)[:12], change_id="b"), Done
        )
        kept, _ = issue_key(store, "roads", change_id="c")
        fleet.wait_ready(4)
        store.write(HEAD_KEY, old_head, store.read(HEAD_KEY).value.version)
        assert run_program("apply", *store_options, tables, "--after", 4)[0] == 0
        snapshot = read_snapshot(store).value
        assert snapshot.revision == 5
        assert find_key(snapshot.tables, withdrawn) is None
        assert find_key(snapshot.tables, kept) is not None
        wait_until(
            lambda: fleet.query_operator(daemon, "/state")["revision"] == 5,
            5,
            "adoption",
        )
        code, output, _ = run_program("status", daemon.settings_file)
        assert code == 0
        assert "fleet: 1 daemons, revision 5" in output
        assert "desk: 1 targets" in output
        store.write(HEAD_KEY, b"?", store.read(HEAD_KEY).value.version)
        assert run_program("apply", *store_options, tables)[0] == 1
        assert run_program("apply", *store_options, tables, "--after", 5)[0] == 0
        tables_now = read_snapshot(store).value.tables
        assert set(tables_now.keys) == {key_digest(kept)}
        fleet.kill(daemon.vm)
        code, _, error = run_program("apply", *store_options, tables, "--after", 9)
        assert code == 1 and "cannot be asked" in error
    finally:
        fleet.close()
