"""Tests of the page that lists the events."""

from pathlib import Path

from ..catalogue import render_catalogue

EVENTS_PAGE = Path(__file__).parents[3] / "docs" / "EVENTS.md"


def test_page_lists_every_event():
    # Guards against events that the operator documentation does not list.
    assert EVENTS_PAGE.read_text() == render_catalogue()
