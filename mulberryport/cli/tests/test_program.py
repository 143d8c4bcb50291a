"""Tests of the program in a process: exit codes, output and error messages."""

import sys
from functools import partial

import orjson
import pytest
from eventlet import GreenPool
from eventlet.green import subprocess

from ...settings.tests.builders import settings_text
from ...tables import find_key, read_snapshot
from ...tables.tests.builders import (
    TABLES_TEXT,
    drop_head_write_responses,
    running_store,
)

COMMANDS = [
    "daemon",
    "check",
    "apply",
    "show",
    "diff",
    "status",
    "blocked",
    "timeline",
    "standin",
]


def run_program(*arguments):
    """Run the program; return its exit code, standard output and standard error."""
    process = subprocess.run(
        [sys.executable, "-m", "mulberryport", *map(str, arguments)],
        capture_output=True,
        text=True,
        timeout=30,
    )
    return process.returncode, process.stdout, process.stderr


@pytest.fixture
def tables_file(tmp_path):
    """Return the path of a file with valid tables."""
    path = tmp_path / "tables.ini"
    path.write_text(TABLES_TEXT)
    return path


def test_help_and_wrong_usage():
    # Guards against scripts that cannot tell a usage error from a refused change.
    pool = GreenPool(8)
    for code, output, _ in pool.imap(
        lambda name: run_program(name, "--help"), COMMANDS
    ):
        assert code == 0 and "--help" in output
    wrong_usages = [
        [],
        ["nonsense"],
        ["apply"],
        ["show"],
        ["show", "--store", "nowhere"],
        ["key", "issue", "--store", "http://127.0.0.1:1", "roads", "--change-id", "x"],
    ]
    for code, output, error in pool.imap(
        lambda arguments: run_program(*arguments), wrong_usages
    ):
        assert (code, output) == (2, "")
        assert error


def test_check_names_every_fault_by_file_section_and_key(tmp_path, tables_file):
    # Guards against a check that reports only the first fault of a file.
    settings = tmp_path / "daemon.ini"
    settings.write_text(settings_text())
    assert run_program("check", settings)[0] == 0
    faulty_file = tmp_path / "bad.ini"
    faulty_file.write_text(
        TABLES_TEXT.replace("pool = desk", "pool = none").replace("weight = 2", "w = 2")
    )
    code, _, error = run_program("check", faulty_file)
    assert code == 1
    assert f"{faulty_file}: [workspace roads] w: unknown key" in error
    assert f"{faulty_file}: [route filing] pool: pool 'none' does not exist" in error
    code, output, _ = run_program("check", faulty_file, "--json")
    locations = [(fault["section"], fault["key"]) for fault in orjson.loads(output)]
    assert code == 1
    assert locations == [("workspace roads", "w"), ("route filing", "pool")]


def test_apply_show_and_diff(tables_file):
    # Guards against reporting a change as accepted that lost to a concurrent one.
    with running_store() as store:
        store_options = ["--store", store.url]
        code, output, _ = run_program("apply", *store_options, tables_file)
        assert code == 0
        assert "+[pool desk]" in output and "revision 1 is accepted" in output
        assert run_program("show", *store_options)[1].startswith("# revision 1\n")
        tables_file.write_text(TABLES_TEXT.replace("weight = 2", "weight = 3"))
        code, output, _ = run_program("diff", *store_options, tables_file, "--json")
        assert code == 0
        assert "+weight = 3.0" in orjson.loads(output)["diff"]
        assert run_program("diff", *store_options, tables_file, "--exit-code")[0] == 1
        code, output, error = run_program(
            "apply", *store_options, tables_file, "--revision", 0
        )
        assert code == 1
        assert "+weight = 3.0" in output and "revision 1 is current" in error
        code, output, _ = run_program(
            "apply", *store_options, tables_file, "--after", 41, "--json"
        )
        assert code == 0
        assert orjson.loads(output)["revision"] == 42
    code, _, error = run_program("apply", *store_options, tables_file)
    assert code == 1 and "store cannot be read" in error


def test_key_is_printed_only_if_it_is_in_force(tables_file):
    # Guards against printing a key that is not in force, and against leaving a key in
    # force that was never printed. The first write of the head takes effect but its
    # response is lost; the retries fail before they take effect.
    effects = [""]
    with running_store(
        partial(drop_head_write_responses, effects=effects, concurrent_changes=[])
    ) as store:
        store_options = ["--store", store.url]
        run_program("apply", *store_options, tables_file)
        assert run_program("key", "issue", *store_options, "nobody")[0] == 1
        effects += ["taken", "untaken", "untaken", "untaken"]
        code, output, error = run_program("key", "issue", *store_options, "roads")
        assert (code, output) == (3, "")
        change_id = error.split("--change-id ")[1].strip()
        (unprinted_key,) = read_snapshot(store).value.tables.keys.values()
        code, output, _ = run_program(
            "key", "issue", *store_options, "roads", "--change-id", change_id
        )
        assert code == 0
        tables = read_snapshot(store).value.tables
        assert list(tables.keys) == [find_key(tables, output.strip()).digest]
        assert unprinted_key.digest not in tables.keys


def test_withdrawal_with_unknown_outcome_is_retried_by_change_id(tables_file):
    # Guards against a withdrawal that took effect but is reported as failed.
    effects = [""]
    with running_store(
        partial(drop_head_write_responses, effects=effects, concurrent_changes=[])
    ) as store:
        store_options = ["--store", store.url]
        run_program("apply", *store_options, tables_file)
        key_id = orjson.loads(
            run_program("key", "issue", *store_options, "roads", "--json")[1]
        )["id"]
        effects += ["taken", "untaken", "untaken", "untaken"]
        code, output, error = run_program("key", "withdraw", *store_options, key_id)
        assert (code, output) == (3, "") and "may still work" in error
        change_id = error.split("--change-id ")[1].strip()
        arguments = ["key", "withdraw", *store_options, key_id]
        assert run_program(*arguments, "--change-id", change_id)[0] == 0
        assert run_program(*arguments)[0] == 1


def test_apply_with_unknown_outcome_is_retried_by_change_id(tables_file):
    # Guards against one change that creates two revisions when it is retried.
    effects = ["taken", "untaken", "untaken", "untaken"]
    with running_store(
        partial(drop_head_write_responses, effects=effects, concurrent_changes=[])
    ) as store:
        store_options = ["--store", store.url]
        code, _, error = run_program("apply", *store_options, tables_file)
        assert code == 3
        retry_options = error.split("with ")[1].split()
        assert (
            run_program("apply", *store_options, tables_file, *retry_options[2:])[0]
            == 2
        )
        code, output, _ = run_program(
            "apply", *store_options, tables_file, *retry_options, "--json"
        )
        assert code == 0
        assert orjson.loads(output)["revision"] == 1


def test_status_and_timeline_report_unreadable_sources(tmp_path):
    # Guards against a status that omits a daemon that does not respond.
    settings = tmp_path / "daemon.ini"
    settings.write_text(settings_text().replace("127.0.0.1:8002", "127.0.0.1:1"))
    code, _, error = run_program("status", settings)
    assert code == 1 and f"{settings}: cannot be read" in error
    assert run_program("timeline", tmp_path / "missing.log")[0] == 1
