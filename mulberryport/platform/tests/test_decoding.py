"""Tests of the decoders for the platform's protocol."""

import re
from pathlib import Path

import orjson
import pytest

from ...coordination import Change, Item, Mirror
from ...coordination.tests.builders import MemoryStore
from ...gateway.bodies import RequestBody
from ...gateway.target_protocol import OutgoingRequest, Verdict
from ...jobs import StreamInterruptedError
from ...routing import TargetView
from ...runtime.clock import boottime
from ...settings import InvalidFileError
from ...tables import find_key
from ...targets import TargetDirectory
from .. import names
from ..configuration import decode_configuration
from ..control import announced_versions
from ..counts import parse_count
from ..engines import EventParser
from ..ingress import _classify_response, _send_refusal
from ..registrations import Registrations, decode_registration
from ..settings import parse_entry_settings, parse_sections
from ..storage import StoragePlatform, StorageVm
from ..target_reports import record_reports
from .builders import KEY, make_configuration

DEPLOY = Path(__file__).parents[3] / "deploy"
VALUES = {
    "node": "front-a-1",
    "zone": "a",
    "ip": "10.0.0.1",
    "listen.front": "10.0.0.1:8405",
    "listen.ready": "10.0.0.1:8406",
    "listen.control": "10.0.0.1:8407",
    "internal-ports.0": "7660",
    "internal-ports.1": "7661",
    "bounds.grace-s": "8",
    "bounds.lease-ms": "3000",
    "bounds.status-ttl-s": "120",
    "bounds.usage-window-s": "5",
    "tolerate.machines": "1",
    "platform.address": "10.0.0.2:8408",
    "cloud.address": "10.0.0.3:8408",
    "data-dir": "/data",
}


def render(template: str, **values: str) -> str:
    """Render a settings template as the platform does.

    Sections with a single value are left out, unless the value is given.
    """
    seeds = "".join(f"\n    seed{n} a 10.0.0.{n + 4}:8407" for n in range(3))
    text = re.sub(r"\{\{#seeds\}\}.*\{\{/seeds\}\}", seeds, template, flags=re.S)
    for name, value in values.items():
        section = re.compile(rf"\{{\{{#([^}}]*{name})\}}\}}(.*?)\{{\{{/\1\}}\}}")
        text = section.sub(lambda match, v=value: match[2].replace("{{.}}", v), text)
    text = re.sub(r"\{\{#([^}]*)\}\}.*?\{\{/\1\}\}", "", text)
    text = re.sub(r"\{\{\^[^}]*\}\}(.*?)\{\{/[^}]*\}\}", r"\1", text)
    return re.sub(r"\{\{([^}]*)\}\}", lambda match: VALUES[match[1]], text)


def test_settings_templates_render_valid_settings():
    # Guards against a template that no longer matches the settings.
    text = render((DEPLOY / "entry.ini").read_text())
    settings = parse_entry_settings(text, "entry.ini")
    assert settings.vm.id == "front-a-1"
    assert [seed.peer_address for seed in settings.peers.seeds][2] == "10.0.0.6:8407"
    assert settings.platform.lease_ms == 3000
    assert settings.platform.evacuation_ms == 0
    text = render((DEPLOY / "entry.ini").read_text(), **{"evacuate-ms": "5000"})
    assert parse_entry_settings(text, "entry.ini").platform.evacuation_ms == 5000
    classes = {"vm": StorageVm, "platform": StoragePlatform}
    text = render((DEPLOY / "storage.ini").read_text())
    assert parse_sections(text, "storage.ini", classes)["vm"].data_folder == "/data"


def test_all_errors_in_settings_are_reported_together():
    with pytest.raises(InvalidFileError) as caught:
        parse_entry_settings("[vm]\nid = a b\nzone = z\n[other]\n", "f")
    text = " ".join(str(error) for error in caught.value.exceptions)
    assert "caller-address" in text and "other" in text and "store" in text


def test_configuration_is_decoded_into_tables():
    snapshot = decode_configuration(orjson.dumps(make_configuration(7)))
    assert snapshot.revision == 7
    routes = snapshot.tables.routes
    assert routes["desk"].is_idempotent("POST")
    assert not routes["once"].is_idempotent("POST")
    assert routes["drafts"].batch.give_up == 40
    assert find_key(snapshot.tables, KEY).workspace == "roads"
    assert snapshot.tables.pools["engines"].models == ("m",)


def test_malformed_configuration_entries_are_skipped():
    configuration = make_configuration()
    configuration["routes"] += [
        {"name": "broken"},
        "text",
        {**configuration["routes"][0], "name": "lost", "service": "none"},
        {
            **configuration["routes"][0],
            "name": "split",
            "service": None,
            "split": [{"service": "desk", "weight": "x"}],
        },
    ]
    tables = decode_configuration(orjson.dumps(configuration)).tables
    assert sorted(tables.routes) == ["desk", "drafts", "once", "score"]
    for content in (b"", b"[]", b"{}", b'{"version": "x"}', b"\xff"):
        with pytest.raises(ValueError):
            decode_configuration(content)


def test_split_routes_distribute_requests_by_weight():
    configuration = make_configuration()
    route = configuration["routes"][0]
    del route["service"]
    route["split"] = [
        {"service": "desk", "weight": 3},
        {"service": "engines", "weight": 1},
        {"service": "engines", "weight": 0},
    ]
    found = decode_configuration(orjson.dumps(configuration)).tables.routes["desk"]
    pools = [found.select_pool(n / 100) for n in range(100)]
    assert pools.count("desk") == 75 and pools.count("engines") == 25


def test_routes_are_open_without_tenants():
    configuration = make_configuration()
    del configuration["tenants"]
    tables = decode_configuration(orjson.dumps(configuration)).tables
    assert all(route.open for route in tables.routes.values())


REGISTRATION = {"service": "s", "address": "10.0.0.1:80", "zone": "a", "state": "ready"}


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"\xff\x00",
        b"[]",
        b"null",
        *(
            orjson.dumps({**REGISTRATION, **change})
            for change in (
                {"state": "odd"},
                {"state": ["ready"]},
                {"address": 7},
                {"address": "nowhere"},
                {"slots": "many"},
                {"slots": -1},
                {"models": [{"name": "m"}]},
                {"models": [{"name": "m", "version": "2"}]},
                {"models": 3},
                {"service": None},
                {"address": "10.0.0.1:0"},
                {"address": "10.0.0.1:99999"},
                {"address": "10.0.0.1:" + "9" * 5000},
                {"address": "10.0.0.1:²"},
                {"address": "10.0.0.1:٣"},
                {"address": "10.0.0.1: 80"},
                {"address": "some.host.example:80"},
                {"address": "10.0.0.1.7:80"},
                {"slots": 2**31},
                {"slots": 1e300},
                {"slots": True},
                {"models": [{"name": "m", "version": 2**63}]},
                {"models": [{"name": "m", "version": -1}]},
                {"models": {"name": "m"}},
                {"born": 2**63},
                {"version": "v" * 1000},
                {"zone": "z" * 1000},
                {"service": "s" * 1000},
            )
        ),
        *(
            orjson.dumps(REGISTRATION)[:-1] + b',"odd":' + odd + b"}"
            for odd in (b"[" * 100_000, b"[" * 100_000 + b"]" * 100_000, b"1e999")
        ),
        *(
            orjson.dumps(REGISTRATION)[:-1] + b',"slots":' + odd + b"}"
            for odd in (b"9" * 30, b"-" + b"9" * 30, b"1" * 5000)
        ),
    ],
)
def test_malformed_registrations_are_rejected(value):
    # Guards against a target that cannot be connected to, a name whose look-up blocks
    # the process, and numbers that no message between daemons can hold.
    with pytest.raises(ValueError):
        decode_registration(Item("servers/x", value, 1))


@pytest.mark.parametrize("text", ["²", "٣", "9" * 5000, "1e9", "-1", "1_0", ""])
def test_odd_numbers_in_headers_are_none(text):
    # Guards against a request or a text that fails by an odd number of its target, and
    # against numbers that stop the heartbeats of a daemon.
    assert parse_count(text) is None
    directory, headers = TargetDirectory(), {names.LOAD: f"{text},0,8"}
    view = TargetView(id="e1", address="a", zone="z", pool="p", kind="k")
    record_reports(directory, view, None, 0.0, 200, headers)
    assert directory.get_state("e1") is None


def test_an_odd_announcement_keeps_back_no_other():
    # Guards against weights that no engine gets because of a key of another writer.
    mirror = Mirror(MemoryStore(), "op/version/")
    values = {
        "a": b'{"model": "m", "version": 7}',
        "b": b'{"model": "n", "version": ' + b"9" * 400 + b"}",
        "c": b'{"model": "n", "version": 1e300}',
        "d": b"[" * 100_000,
        "e": b"[]",
    }
    for name, value in values.items():
        key = f"op/version/{name}"
        mirror.apply(Change(key, 1, Item(key, value, 1)))
    assert announced_versions(mirror) == {"m": 7}


@pytest.mark.parametrize("part", [b"id: 1_0", b"id: " + b"9" * 20])
def test_odd_numbers_in_events_are_refused(part):
    # Guards against results that cannot be encoded.
    with pytest.raises(ValueError):
        list(EventParser(3).feed(part + b"\ndata: x\n\n"))
    with pytest.raises(ValueError):
        odd = b"x-weight-versions:" + part.partition(b":")[2]
        list(EventParser(3).feed(odd + b"\nid: 1\ndata: x\n\n"))


def test_malformed_registration_removes_only_its_own_target():
    directory = TargetDirectory()
    mirror = Mirror(MemoryStore(), "servers/")
    registrations = Registrations(mirror, directory)
    registrations.start()
    for name in ("a", "b"):
        item = Item(f"servers/{name}", orjson.dumps(REGISTRATION), 1)
        mirror.apply(Change(item.key, 1, item))
    wrong = Item("servers/a", b"?", 2)
    mirror.apply(Change(wrong.key, 2, wrong))
    assert sorted(registrations.listed) == ["servers/b"]


def test_entries_that_lapse_in_an_outage_stay_until_they_had_time_to_return():
    # Guards against removing all targets because of a store outage.
    mirror = Mirror(MemoryStore(), "servers/")
    registrations = Registrations(mirror, TargetDirectory())
    registrations.start()
    item = Item("servers/a", orjson.dumps(REGISTRATION), 1)
    mirror.apply(Change(item.key, 1, item))
    mirror._connected, mirror._connected_at = True, boottime() - 1.0
    mirror.apply(Change(item.key, 2))
    registrations.remove_missing_targets()
    assert "servers/a" in registrations.listed
    mirror._connected_at = boottime() - 10.0
    registrations.remove_missing_targets()
    assert registrations.listed == {}


def test_event_parser_accepts_a_stream_split_at_any_byte():
    # Guards against lost or duplicate events at packet boundaries.
    stream = (
        b"id: 1\ndata: a\n\nx-weight-versions: 4\nid: 2\ndata: b\n\n"
        b"id: 3\ndata: c\ndata: d\n\nid: 4\ndata: cut"
    )
    expected = [(1, "a", 3), (2, "b", 4), (3, "c\nd", 4)]
    for size in range(1, len(stream)):
        parser = EventParser(3)
        parts = [stream[n : n + size] for n in range(0, len(stream), size)]
        assert [e for part in parts for e in parser.feed(part)] == expected


def test_malformed_stream_raises_value_error():
    for content in (b"id: x\ndata: a\n\n", b"x-weight-versions: y\n\n", b"\xff\n\n"):
        with pytest.raises(ValueError):
            list(EventParser(1).feed(content))
    assert issubclass(StreamInterruptedError, Exception)


def request(request_id="r1"):
    """Return a request with an id."""
    headers = [("X-Request-Id", request_id)]
    return OutgoingRequest("POST", "/", headers, RequestBody(0, b"", True))


@pytest.mark.parametrize(
    ("status", "headers", "verdict"),
    [
        (200, {"X-Request-Id": "r1", "X-Server-Stamp": "s"}, Verdict.RESPONSE),
        (200, {"X-Request-Id": "r2", "X-Server-Stamp": "s"}, Verdict.OTHER_REQUEST),
        (200, {"X-Request-Id": "r1"}, Verdict.OTHER_REQUEST),
        (200, {"X-Server-Stamp": "s"}, Verdict.OTHER_REQUEST),
        (500, {"X-Request-Id": "r1"}, Verdict.RESPONSE),
        (503, {"X-Not-Run": "1"}, Verdict.NOT_RUN),
        (503, {"X-Request-Id": "r1"}, Verdict.RESPONSE),
        (503, {"X-Request-Id": "r2", "X-Not-Run": "1"}, Verdict.OTHER_REQUEST),
        (421, {}, Verdict.MISDIRECTED),
        (421, {"X-Request-Id": "r2"}, Verdict.OTHER_REQUEST),
    ],
)
def test_the_head_of_an_answer_is_judged(status, headers, verdict):
    assert _classify_response(request(), status, headers) is verdict


def test_only_retryable_refusals_have_retry_after():
    from ...gateway import OutcomeUnknownError, RefusalError

    seen = []

    def start(status, headers):
        seen.append((status[:3], dict(headers).get("Retry-After")))

    _send_refusal(start, RefusalError(503, "full", 0.25))
    _send_refusal(start, OutcomeUnknownError(502, "broken"))
    _send_refusal(start, RefusalError(404, "no route"))
    assert seen == [("503", "0.25"), ("502", None), ("404", None)]


@pytest.mark.parametrize("value", [-1, "3000", 1e12, float("nan"), [], True, {}])
def test_malformed_cold_time_does_not_hide_a_target(value):
    # Guards against a target that is not used, or a program that ends, because of one
    # odd figure in its registration.
    entry = {"service": "p", "address": "127.0.0.1:1", "zone": "z", "state": "ready"}
    content = orjson.dumps({**entry, "cold-left-ms": value})
    vm = decode_registration(Item("servers/t", content, 1))
    assert vm.cold_s is None and vm.id == "t"


def test_cold_time_of_a_registration_is_read():
    # Guards against cold targets that get full load.
    entry = {"service": "p", "address": "127.0.0.1:1", "zone": "z", "state": "ready"}
    content = orjson.dumps({**entry, "cold-left-ms": 2500})
    assert decode_registration(Item("servers/t", content, 1)).cold_s == 2.5


def test_entries_that_are_not_used_are_reported_without_their_values():
    # Guards against API keys of a misplaced tenant in logs and reports.
    values = make_configuration()
    values["services"].append({"api-keys": ["secret" * 4]})
    values["routes"].append({"name": "tenant", "api-keys": ["secret" * 4]})
    values["routes"].append({**values["routes"][0], "priority": "secret"})
    reports = []
    decode_configuration(orjson.dumps(values), lambda *place: reports.append(place))
    assert len(reports) == 3
    assert "route tenant (entry 5)" in [place for place, _, _ in reports]
    assert "secret" not in repr(reports)
    with pytest.raises(ValueError, match="a value is not a number"):
        decode_configuration(orjson.dumps(make_configuration("secret")))


def test_a_route_without_a_service_is_skipped_and_malformed_limits_are_an_error():
    # Guards against an exception that daemons do not expect of the decoder.
    values = make_configuration()
    del values["routes"][0]["service"]
    reports = []
    decode_configuration(orjson.dumps(values), lambda *place: reports.append(place))
    assert [place for place, _, _ in reports] == ["route desk (entry 1)"]
    for limits in (5, [1], {"max-body-bytes": [1]}):
        with pytest.raises(ValueError, match="malformed configuration"):
            decode_configuration(orjson.dumps(make_configuration(limits=limits)))


def test_a_text_in_place_of_a_list_of_keys_gives_no_keys():
    # Guards against keys of one character, which anyone can guess.
    values = make_configuration(tenants=[{"name": "roads", "api-keys": "secret"}])
    reports = []
    snapshot = decode_configuration(orjson.dumps(values), lambda *p: reports.append(p))
    assert snapshot.tables.keys == {}
    assert reports == [("workspace roads", "api-keys", "is not a list")]
