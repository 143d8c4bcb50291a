"""Tests of the catalogue of events."""

from pathlib import Path

from ..catalogue import render_catalogue

PAGE = Path(__file__).parents[3] / "docs" / "EVENTS.md"


def test_page_lists_every_event():
    # Guards against events that operators cannot look up.
    assert PAGE.read_text() == render_catalogue()
