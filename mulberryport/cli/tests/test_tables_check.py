"""Tests of the command ``tables check`` in a process."""

import orjson

from ...platform.tests.builders import HOST, make_configuration
from ...tables.tests.builders import TABLES_TEXT
from .test_program import run_program


def check(tmp_path, content, *arguments):
    """Return exit code and decoded output of a check of a file."""
    path = tmp_path / "new"
    path.write_bytes(content)
    code, output, error = run_program("tables", "check", path, "--json", *arguments)
    assert not error, error
    return code, orjson.loads(output)


def test_sound_files_of_both_forms_pass(tmp_path):
    # Guards against a check that refuses what daemons accept.
    configuration = orjson.dumps(make_configuration(3))
    assert check(tmp_path, configuration) == (
        0,
        {"findings": [], "revision_in_force": None, "differences": []},
    )
    code, result = check(tmp_path, TABLES_TEXT.encode())
    assert [f for f in result["findings"] if f["kind"] == "error"] == []


def test_all_faults_of_a_configuration_are_named_with_their_places(tmp_path):
    # Guards against entries that daemons skip without the operator noticing.
    values = make_configuration(2)
    values["routes"][0]["service"] = "none"
    values["routes"][1]["latency-target-ms"] = 9000
    values["routes"].append({"name": "broken", "host": HOST})
    values["tenants"][1]["api-keys"] = values["tenants"][0]["api-keys"]
    code, result = check(tmp_path, orjson.dumps(values))
    places = {(f["kind"], f["section"], f["key"]) for f in result["findings"]}
    assert code == 1
    assert {
        ("error", "route desk", "pool"),
        ("error", "route broken (entry 5)", ""),
        ("error", "workspace boats", "api-keys"),
        ("contradiction", "route once", "latency-target"),
        ("never matches", "workspace roads", ""),
    } <= places


def test_malformed_files_are_errors(tmp_path):
    # Guards against a traceback, or a malformed file that passes.
    for content in (b"{", b"{}", b"[route r]\nnone = 1\n", b"\xff"):
        code, result = check(tmp_path, content)
        assert code == 1
        assert {f["kind"] for f in result["findings"]} == {"error"}


def test_malformed_files_are_not_quoted(tmp_path):
    # Guards against API keys in the output, of a file that has another form.
    for content in (
        b'\xef\xbb\xbf{"version": 1, "api-keys": ["secret"]}',
        b'[{"name": "a", "api-keys": ["secret"]}]',
        b"[pool p]\nsecret\n",
        b"tenants: [{name: a, api-keys: [secret]}]\n",
    ):
        code, result = check(tmp_path, content)
        assert (code, len(result["findings"])) == (1, 1)
        assert "secret" not in repr(result)


def test_differences_from_the_version_in_force_are_listed(tmp_path):
    # Guards against a version that daemons do not adopt, or a change by mistake.
    in_force = tmp_path / "old"
    in_force.write_bytes(orjson.dumps(make_configuration(7)))
    values = make_configuration(8)
    values["routes"][0]["timeout-ms"] = 2000
    arguments = ("--in-force", in_force)
    code, result = check(tmp_path, orjson.dumps(values), *arguments)
    assert (code, result["revision_in_force"]) == (0, 7)
    (difference,) = result["differences"]
    assert (difference["section"], difference["key"]) == ("route desk", "timeout")
    assert (difference["before"], difference["after"]) == (4.0, 2.0)
    code, result = check(tmp_path, orjson.dumps(make_configuration(7)), *arguments)
    assert code == 1
    assert [f["key"] for f in result["findings"]] == ["version"]


def test_integers_beyond_64_bits_are_printed(tmp_path):
    # Guards against a traceback instead of the differences.
    in_force = tmp_path / "old"
    in_force.write_bytes(orjson.dumps(make_configuration(7)))
    values = make_configuration(1e300)
    values["services"][0]["scale"] = {"min": 1e300, "max": 1e300}
    _, result = check(tmp_path, orjson.dumps(values), "--in-force", in_force)
    after = {entry["key"]: entry["after"] for entry in result["differences"]}
    assert after["minimum"] == hex(int(1e300))
    in_force.write_bytes(orjson.dumps(values))
    _, result = check(tmp_path, orjson.dumps(values), "--in-force", in_force)
    assert result["revision_in_force"] == hex(int(1e300))
