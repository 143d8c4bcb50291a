"""Tests of the tables as INI text."""

import pytest

from ...settings import InvalidFileError
from .. import parse_tables, render_tables
from ..shards import cut, join
from .builders import TABLES_TEXT, sample_tables


def test_rendered_tables_are_read_back():
    tables = sample_tables()
    assert parse_tables(render_tables(tables), "copy.ini") == tables


def test_shards_are_joined_to_the_same_tables():
    tables = sample_tables()
    assert join(cut(tables)) == tables


def test_route_to_a_missing_pool_is_refused():
    # Guards against the change that stranded trainers.
    with pytest.raises(InvalidFileError) as caught:
        parse_tables(TABLES_TEXT.replace("[pool desk]", "[pool other]"), "a.ini")
    assert [(f.section, f.key) for f in caught.value.faults] == [
        ("route filing", "pool")
    ]
