"""Tests of the entry point of an entry daemon."""

import os
import subprocess
import sys

import pytest

COMMAND = [sys.executable, "-m", "mulberryport.platform.entry"]


def run(settings, *arguments):
    """Run the entry point, or another command, and return the completed process."""
    return subprocess.run(
        arguments or COMMAND,
        env={**os.environ, "MULBERRYPORT_SETTINGS": str(settings)},
        capture_output=True,
        text=True,
        timeout=30,
    )


def test_invalid_settings_exit_with_a_clear_message(tmp_path):
    settings = tmp_path / "entry.ini"
    settings.write_text("[vm]\nid = a\n")
    process = run(settings)
    assert process.returncode == 1
    assert "zone" in process.stderr
    assert "Traceback" not in process.stderr


def test_error_names_a_missing_settings_file(tmp_path):
    process = run(tmp_path / "none.ini")
    assert process.returncode == 1
    assert "none.ini" in process.stderr


@pytest.mark.parametrize(
    ("program", "daemon"),
    [("entry", "daemon"), ("storage_program", "storage")],
)
def test_programs_do_not_import_what_never_runs(program, daemon):
    # Guards against slow restarts caused by imports of the command line and of the
    # daemon of the project's own interface.
    code = (
        f"import sys, mulberryport.platform.{program}, mulberryport.platform.{daemon};"
        "needless = ('cappa', 'mulberryport.cli', 'mulberryport.daemon.process');"
        "print([m for m in sys.modules if m.startswith(needless)])"
    )
    process = run("", sys.executable, "-W", "ignore", "-c", code)
    assert process.stdout.strip() == "[]", process.stderr
