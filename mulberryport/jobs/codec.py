"""Jobs and results as bytes, as the store and the peers get them."""

import base64
from typing import Any

import orjson

from .generation import Transcript
from .model import Job, JobItem, JobResult, ScoringCall

__all__ = [
    "decode_job",
    "decode_result",
    "decode_results",
    "decode_transcripts",
    "encode_job",
    "encode_result",
    "encode_results",
    "encode_transcripts",
]


def encode_job(job: Job) -> bytes:
    """Return a job as bytes."""
    return orjson.dumps(
        {
            "id": job.id,
            "workspace": job.workspace,
            "host": job.host,
            "route": job.route,
            "oldest_version": job.oldest_version,
            "wanted_groups": job.wanted_groups,
            "submitted_at": job.submitted_at,
            "items": [_item_to_json(item) for item in job.items],
        }
    )


def decode_job(content: bytes) -> Job:
    """Return a job from its bytes.

    Raises
    ------
    ValueError
        The bytes are no job.
    """
    try:
        values = orjson.loads(content)
        items = tuple(_item_from_json(item) for item in values.pop("items"))
        return Job(items=items, **values)
    except (KeyError, TypeError, AttributeError) as error:
        raise ValueError(f"not a job: {error!r}") from error


def encode_result(result: JobResult) -> bytes:
    """Return a result as bytes."""
    encoded = orjson.dumps(
        [result.id, result.state, result.text, result.versions, result.score]
    )
    # The encoder's buffer has eight bytes for each character, and results are kept.
    return bytes(memoryview(encoded))


def decode_result(content: bytes) -> JobResult:
    """Return a result from its bytes.

    Raises
    ------
    ValueError
        The bytes are no result.

    Examples
    --------
    >>> decode_result(encode_result(JobResult("a", "completed", "x", (1, 2), "s")))
    JobResult(id='a', state='completed', versions=(1, 2), score='s')
    """
    return _result(orjson.loads(content))


def encode_results(results: list[JobResult]) -> bytes:
    """Return the results of one commit as bytes."""
    return orjson.dumps([orjson.Fragment(encode_result(r)) for r in results])


def decode_results(content: bytes) -> list[JobResult]:
    """Return the results of one commit from their bytes.

    Raises
    ------
    ValueError
        The bytes are no list of results.
    """
    return [_result(values) for values in orjson.loads(content)]


def encode_transcripts(transcripts: dict[str, Transcript]) -> bytes:
    """Return unfinished texts by the id of their item as bytes."""
    return orjson.dumps(
        {item: [t.events, t.versions, t.failures] for item, t in transcripts.items()}
    )


def decode_transcripts(content: bytes) -> dict[str, Transcript]:
    """Return unfinished texts from their bytes.

    Raises
    ------
    ValueError
        The bytes are no such texts.
    """
    try:
        return {
            item: Transcript(list(events), list(versions), int(failures))
            for item, (events, versions, failures) in orjson.loads(content).items()
        }
    except (TypeError, AttributeError) as error:
        raise ValueError(f"not unfinished texts: {error!r}") from error


def _result(values: Any) -> JobResult:
    try:
        item, state, text, versions, score = values
        return JobResult(item, state, text, tuple(versions), score)
    except (TypeError, ValueError) as error:
        raise ValueError(f"not a result: {error!r}") from error


def _item_to_json(item: JobItem) -> dict[str, Any]:
    call = item.scoring
    return {
        "id": item.id,
        "path": item.path,
        "headers": item.headers,
        "body": base64.b64encode(item.body).decode(),
        "group": item.group,
        "model": item.model,
        "length_hint": item.length_hint,
        "scoring": call
        and [call.id, call.host, call.path, base64.b64encode(call.body).decode()],
    }


def _item_from_json(values: dict[str, Any]) -> JobItem:
    call = values["scoring"]
    return JobItem(
        **{
            **values,
            "headers": tuple((name, value) for name, value in values["headers"]),
            "body": base64.b64decode(values["body"]),
            "scoring": call
            and ScoringCall(call[0], call[1], call[2], base64.b64decode(call[3])),
        }
    )
