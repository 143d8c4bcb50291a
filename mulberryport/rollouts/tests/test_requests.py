"""Tests of the parsing of trainer requests with invalid and hostile bodies."""

import base64
import math

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ...runtime.wsgi import BadRequestError
from .. import StepId
from ..requests import parse_pull, parse_spec, parse_step_id, require_object

VALID_SPEC = {
    "staleness_bound": 1,
    "weight_version": 3,
    "groups": [{"prompt": "p", "samples": 2, "max_tokens": 4}],
}
STEP_ID = StepId("roads", "warnings", 1)
INVALID_NUMBERS = [None, -1, 1.5, math.nan, math.inf, "3", True, [], {}, 2**64, 10**400]


def test_invalid_values_are_rejected():
    # Guards against invalid values that cause a server error or are accepted.
    for name in ("staleness_bound", "weight_version"):
        for value in INVALID_NUMBERS:
            with pytest.raises(BadRequestError, match=name):
                parse_spec({**VALID_SPEC, name: value}, STEP_ID, "r", "p")
    for name in ("samples", "max_tokens"):
        for value in [*INVALID_NUMBERS, 0]:
            group = {**VALID_SPEC["groups"][0], name: value}
            with pytest.raises(BadRequestError, match=name):
                parse_spec({**VALID_SPEC, "groups": [group]}, STEP_ID, "r", "p")
    many = [{"prompt": "p", "samples": 16384, "max_tokens": 1}] * 2
    for groups in (None, {}, [], ["p"], [{}], many):
        with pytest.raises(BadRequestError):
            parse_spec({**VALID_SPEC, "groups": groups}, STEP_ID, "r", "p")
    long_bitmap = base64.b64encode(bytes(10_000)).decode()
    for pull in (
        *({"wait": value} for value in INVALID_NUMBERS if value not in (1.5, None)),
        *({"limit": value} for value in [*INVALID_NUMBERS, 0]),
        *({"received": value} for value in ("%", "a", 7, long_bitmap, "\ud800")),
    ):
        with pytest.raises(BadRequestError):
            parse_pull({"weight_version": 1, **pull})
    for step in ("-1", "1.0", "", "1_0", "\u0663", "9" * 20):
        with pytest.raises(BadRequestError):
            parse_step_id("roads", "t", step)


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=8,
)


@settings(derandomize=True, deadline=None, max_examples=200)
@given(
    JSON, st.sampled_from([*VALID_SPEC, "wait", "limit", "received", "scoring_route"])
)
def test_arbitrary_bodies_raise_only_bad_request_errors(value, name):
    for parse in (
        lambda: parse_spec(
            require_object({**VALID_SPEC, name: value}), STEP_ID, "r", "p"
        ),
        lambda: parse_pull(require_object({**VALID_SPEC, name: value})),
        lambda: parse_pull(require_object(value)),
    ):
        try:
            parse()
        except BadRequestError:
            continue
