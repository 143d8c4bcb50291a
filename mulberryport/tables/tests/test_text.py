"""Tests of the INI text form of the tables."""

import pytest

from ...settings import InvalidFileError
from .. import parse_tables, render_tables
from ..shards import join_shards, split_tables
from .builders import TABLES_TEXT, sample_tables


def test_rendered_tables_round_trip():
    tables = sample_tables()
    assert parse_tables(render_tables(tables), "copy.ini") == tables


def test_shards_round_trip():
    tables = sample_tables()
    assert join_shards(split_tables(tables)) == tables


def test_route_to_a_missing_pool_is_rejected():
    # Guards against a configuration error that cut trainers off: a route to a pool
    # that does not exist.
    with pytest.raises(InvalidFileError) as caught:
        parse_tables(TABLES_TEXT.replace("[pool desk]", "[pool other]"), "a.ini")
    assert [(f.section, f.key) for f in caught.value.diagnostics] == [
        ("route filing", "pool")
    ]
