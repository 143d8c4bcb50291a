"""Tests of jobs and results as bytes."""

import tracemalloc

from ..codec import encode_result
from ..model import COMPLETED, JobResult

RESULTS = 50
# Length of a text as engines make it.
TEXT_BYTES = 15_000


def test_encoded_result_takes_no_more_memory_than_its_length() -> None:
    """Guards against buffers of eight times their content that are kept with jobs."""
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
