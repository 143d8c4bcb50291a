"""Tests of the encoding of jobs and results."""

import tracemalloc

import orjson
import pytest
from attrs import evolve

from ..codec import decode_job, encode_job, encode_result
from ..model import COMPLETED, JobResult
from .builders import make_job

RESULTS = 50
# Typical length of a generated text.
TEXT_BYTES = 15_000


def test_encoded_result_takes_no_more_memory_than_its_length() -> None:
    """Guards against retaining encoder buffers of eight times the content's size."""
    text = "word " * (TEXT_BYTES // 5)
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        results = [
            encode_result(JobResult(str(number), COMPLETED, text, (1, 2), "score"))
            for number in range(RESULTS)
        ]
        after, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert after - before < 1.1 * sum(map(len, results))


def test_job_keeps_the_configuration_revision_under_which_it_was_accepted() -> None:
    """Guards against a later owner that judges a job by an older configuration."""
    job = make_job(configuration_revision=12)
    assert decode_job(encode_job(job)) == job


def test_job_of_an_older_build_is_decoded_without_a_revision() -> None:
    """Guards against losing the jobs that are in the store during an upgrade."""
    values = orjson.loads(encode_job(make_job(configuration_revision=12)))
    del values["configuration_revision"]
    assert decode_job(orjson.dumps(values)) == make_job(configuration_revision=0)


def test_job_of_a_newer_build_is_decoded_without_its_new_fields() -> None:
    """Guards against losing jobs that a newer build accepted during an upgrade."""
    values = orjson.loads(encode_job(make_job()))
    assert decode_job(orjson.dumps({**values, "added_later": 1})) == make_job()


def test_prompts_of_items_are_kept_for_later_owners() -> None:
    """Guards against a later owner that reads each prompt at another target."""
    job = make_job()
    prompt = {"prompt_parts": (("9c2e", 300), ("5d07", 20)), "max_output_tokens": 900}
    first, *others = job.items
    job = evolve(job, items=(evolve(first, **prompt), *others))
    assert decode_job(encode_job(job)) == job


@pytest.mark.parametrize("prompts", [None, [], [[[["9c2e", 300]], 9]]])
def test_job_without_the_prompts_of_its_items_is_decoded(prompts) -> None:
    """Guards against losing jobs of an older build, which stored no prompts."""
    values = orjson.loads(encode_job(make_job()))
    del values["prompts"]
    if prompts is not None:
        values["prompts"] = prompts
    assert decode_job(orjson.dumps(values)) == make_job()


def test_items_are_stored_as_earlier_builds_know_them() -> None:
    """Guards against jobs that an earlier build cannot decode during an upgrade."""
    (item, *_) = orjson.loads(encode_job(make_job()))["items"]
    known = {"id", "path", "headers", "body", "group", "model", "length_hint"}
    assert item.keys() == {*known, "scoring"}
