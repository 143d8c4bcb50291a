"""Tests of the encoding of jobs and results."""

import tracemalloc

from ..codec import encode_result
from ..model import COMPLETED, JobResult

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
