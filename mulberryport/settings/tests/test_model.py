"""Tests of the daemon's settings."""

import pytest

from .. import InvalidFileError, Seed, parse_settings
from .builders import settings_text


def test_valid_settings_are_read():
    settings = parse_settings(settings_text(), "a.ini")
    assert settings.vm.zone == "rosario"
    assert settings.peers.seeds == (Seed("vm2", "parana", "127.0.0.1:8103"),)


def test_all_faults_are_reported_at_once():
    # Guards against an operator mending one fault a run.
    content = settings_text(vm="id = vm1\nzone = a b\ncolor = red", extra="a = 1")
    with pytest.raises(InvalidFileError) as caught:
        parse_settings(content, "a.ini")
    places = {(fault.section, fault.key) for fault in caught.value.faults}
    assert places >= {
        ("vm", "zone"),
        ("vm", "color"),
        ("vm", "peer-address"),
        ("extra", ""),
    }


def test_secrets_are_not_shown():
    settings = parse_settings(settings_text(), "a.ini")
    assert "0123456789abcdef" not in repr(settings)


def test_contradictions_between_keys_are_reported():
    # Guards against ports and credentials that are shared by mistake.
    content = settings_text(
        vm="id = vm1\nzone = rosario\ncaller-address = 127.0.0.1:8001\n"
        "operator-address = 127.0.0.1:8001\npeer-address = 127.0.0.1:8003",
        credentials="operator-token = 0123456789abcdef\npeer-token = 0123456789abcdef",
        peers="seeds = vm2 parana 127.0.0.1:8103, vm2 parana 127.0.0.1:8104",
    )
    with pytest.raises(InvalidFileError) as caught:
        parse_settings(content, "a.ini")
    places = [(fault.section, fault.key) for fault in caught.value.faults]
    assert places == [
        ("vm", "operator-address"),
        ("credentials", "peer-token"),
        ("peers", "seeds"),
    ]


def test_underscores_in_keys_are_refused():
    # Guards against two spellings of one key, of which one would win silently.
    with pytest.raises(InvalidFileError) as caught:
        parse_settings(
            settings_text().replace("peer-token", "peer_token = x\npeer-token"),
            "a.ini",
        )
    places = [(fault.section, fault.key) for fault in caught.value.faults]
    assert places == [("credentials", "peer_token")]
