"""Tests of the program as a process: exit codes, output and errors."""

import sys
from functools import partial

import orjson
import pytest
from eventlet import GreenPool
from eventlet.green import subprocess

from ...settings.tests.builders import settings_text
from ...tables import find_key, read_snapshot
from ...tables.tests.builders import TABLES_TEXT, losing_head_writes, running_store

COMMANDS = ["daemon", "check", "apply", "show", "diff", "status", "timeline", "standin"]


def run_program(*arguments):
    """Return exit code, standard output and standard error of the program."""
    done = subprocess.run(
        [sys.executable, "-m", "mulberryport", *map(str, arguments)],
        capture_output=True,
        text=True,
        timeout=30,
    )
    return done.returncode, done.stdout, done.stderr


@pytest.fixture
def file(tmp_path):
    """Return a file with valid tables."""
    path = tmp_path / "tables.ini"
    path.write_text(TABLES_TEXT)
    return path


def test_help_and_wrong_usage():
    # Guards against scripts that take a typing error for a refusal.
    pool = GreenPool(8)
    for code, output, _ in pool.imap(
        lambda name: run_program(name, "--help"), COMMANDS
    ):
        assert code == 0 and "--help" in output
    wrong = [
        [],
        ["nonsense"],
        ["apply"],
        ["show"],
        ["show", "--store", "nowhere"],
        ["key", "issue", "--store", "http://127.0.0.1:1", "roads", "--change-id", "x"],
    ]
    for code, output, error in pool.imap(
        lambda arguments: run_program(*arguments), wrong
    ):
        assert (code, output) == (2, "")
        assert error


def test_check_names_every_fault_by_file_section_and_key(tmp_path, file):
    # Guards against an operator mending one fault a run.
    settings = tmp_path / "daemon.ini"
    settings.write_text(settings_text())
    assert run_program("check", settings)[0] == 0
    bad = tmp_path / "bad.ini"
    bad.write_text(
        TABLES_TEXT.replace("pool = desk", "pool = none").replace("weight = 2", "w = 2")
    )
    code, _, error = run_program("check", bad)
    assert code == 1
    assert f"{bad}: [workspace roads] w: unknown key" in error
    assert f"{bad}: [route filing] pool: pool 'none' does not exist" in error
    code, output, _ = run_program("check", bad, "--json")
    places = [(fault["section"], fault["key"]) for fault in orjson.loads(output)]
    assert code == 1
    assert places == [("workspace roads", "w"), ("route filing", "pool")]


def test_apply_show_and_diff(file):
    # Guards against a lost race that passes for an accepted change.
    with running_store() as store:
        at = ["--store", store.url]
        code, output, _ = run_program("apply", *at, file)
        assert code == 0
        assert "+[pool desk]" in output and "revision 1 is accepted" in output
        assert run_program("show", *at)[1].startswith("# revision 1\n")
        file.write_text(TABLES_TEXT.replace("weight = 2", "weight = 3"))
        code, output, _ = run_program("diff", *at, file, "--json")
        assert code == 0
        assert "+weight = 3.0" in orjson.loads(output)["diff"]
        assert run_program("diff", *at, file, "--exit-code")[0] == 1
        code, output, error = run_program("apply", *at, file, "--revision", 0)
        assert code == 1
        assert "+weight = 3.0" in output and "revision 1 is current" in error
        code, output, _ = run_program("apply", *at, file, "--after", 41, "--json")
        assert code == 0
        assert orjson.loads(output)["revision"] == 42
    code, _, error = run_program("apply", *at, file)
    assert code == 1 and "store cannot be read" in error


def test_key_is_shown_only_if_it_is_in_force(file):
    # Guards against a key that a caller is given and that never works, and against
    # a key that works and that nobody knows.
    effects = [""]
    with running_store(partial(losing_head_writes, effects=effects, meanwhile=[])) as s:
        at = ["--store", s.url]
        run_program("apply", *at, file)
        assert run_program("key", "issue", *at, "nobody")[0] == 1
        effects += ["taken", "untaken", "untaken", "untaken"]
        code, output, error = run_program("key", "issue", *at, "roads")
        assert (code, output) == (3, "")
        change_id = error.split("--change-id ")[1].strip()
        (lost,) = read_snapshot(s).value.tables.keys.values()
        code, output, _ = run_program(
            "key", "issue", *at, "roads", "--change-id", change_id
        )
        assert code == 0
        tables = read_snapshot(s).value.tables
        assert list(tables.keys) == [find_key(tables, output.strip()).digest]
        assert lost.digest not in tables.keys


def test_withdrawal_in_doubt_is_repeated_by_its_change_id(file):
    # Guards against a withdrawal that took effect and is reported as an error.
    effects = [""]
    with running_store(partial(losing_head_writes, effects=effects, meanwhile=[])) as s:
        at = ["--store", s.url]
        run_program("apply", *at, file)
        key_id = orjson.loads(run_program("key", "issue", *at, "roads", "--json")[1])[
            "id"
        ]
        effects += ["taken", "untaken", "untaken", "untaken"]
        code, output, error = run_program("key", "withdraw", *at, key_id)
        assert (code, output) == (3, "") and "may still work" in error
        change_id = error.split("--change-id ")[1].strip()
        arguments = ["key", "withdraw", *at, key_id]
        assert run_program(*arguments, "--change-id", change_id)[0] == 0
        assert run_program(*arguments)[0] == 1


def test_apply_in_doubt_is_repeated_by_its_change_id(file):
    # Guards against two revisions from one change.
    effects = ["taken", "untaken", "untaken", "untaken"]
    with running_store(partial(losing_head_writes, effects=effects, meanwhile=[])) as s:
        at = ["--store", s.url]
        code, _, error = run_program("apply", *at, file)
        assert code == 3
        again = error.split("with ")[1].split()
        assert run_program("apply", *at, file, *again[2:])[0] == 2
        code, output, _ = run_program("apply", *at, file, *again, "--json")
        assert code == 0
        assert orjson.loads(output)["revision"] == 1


def test_status_and_timeline_report_what_cannot_be_read(tmp_path):
    # Guards against a fleet that looks complete because a daemon is silent.
    settings = tmp_path / "daemon.ini"
    settings.write_text(settings_text().replace("127.0.0.1:8002", "127.0.0.1:1"))
    code, _, error = run_program("status", settings)
    assert code == 1 and f"{settings}: cannot be read" in error
    assert run_program("timeline", tmp_path / "missing.log")[0] == 1
