"""Tests of parsing and validating the daemon settings."""

import pytest

from .. import InvalidFileError, Seed, parse_settings
from .builders import settings_text


def test_valid_settings_are_parsed():
    settings = parse_settings(settings_text(), "a.ini")
    assert settings.vm.zone == "rosario"
    assert settings.peers.seeds == (Seed("vm2", "parana", "127.0.0.1:8103"),)


def test_all_errors_are_reported_at_once():
    # Guards against reporting only the first error, which makes an operator fix one
    # error per run.
    content = settings_text(vm="id = vm1\nzone = a b\ncolor = red", extra="a = 1")
    with pytest.raises(InvalidFileError) as caught:
        parse_settings(content, "a.ini")
    locations = {
        (diagnostic.section, diagnostic.key) for diagnostic in caught.value.diagnostics
    }
    assert locations >= {
        ("vm", "zone"),
        ("vm", "color"),
        ("vm", "peer-address"),
        ("extra", ""),
    }


def test_repr_omits_secrets():
    settings = parse_settings(settings_text(), "a.ini")
    assert "0123456789abcdef" not in repr(settings)


def test_conflicting_settings_are_reported():
    # Guards against two ports with one address or one token.
    content = settings_text(
        vm="id = vm1\nzone = rosario\ncaller-address = 127.0.0.1:8001\n"
        "operator-address = 127.0.0.1:8001\npeer-address = 127.0.0.1:8003",
        credentials="operator-token = 0123456789abcdef\npeer-token = 0123456789abcdef",
        peers="seeds = vm2 parana 127.0.0.1:8103, vm2 parana 127.0.0.1:8104",
    )
    with pytest.raises(InvalidFileError) as caught:
        parse_settings(content, "a.ini")
    locations = [
        (diagnostic.section, diagnostic.key) for diagnostic in caught.value.diagnostics
    ]
    assert locations == [
        ("vm", "operator-address"),
        ("credentials", "peer-token"),
        ("peers", "seeds"),
    ]


def test_underscores_in_keys_are_rejected():
    # Guards against two spellings of one key, where one silently overrides the other.
    with pytest.raises(InvalidFileError) as caught:
        parse_settings(
            settings_text().replace("peer-token", "peer_token = x\npeer-token"),
            "a.ini",
        )
    locations = [
        (diagnostic.section, diagnostic.key) for diagnostic in caught.value.diagnostics
    ]
    assert locations == [("credentials", "peer_token")]
