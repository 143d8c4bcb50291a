"""Serialization of jobs and results for the store and for peer calls."""

import base64
from typing import Any

import orjson
from attrs import evolve, fields

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
    "max_encoded_bytes",
]

# A control character becomes an escape sequence of this length.
MAX_BYTES_PER_CHAR = 6
# Covers the state, the punctuation and a usual list of versions.
RESULT_OVERHEAD_BYTES = 1024

# Fields that are encoded as they are.
JOB_FIELDS = tuple(a.name for a in fields(Job) if a.name != "items")


def encode_job(job: Job) -> bytes:
    """Encode a job."""
    return orjson.dumps(
        {
            "id": job.id,
            "workspace": job.workspace,
            "host": job.host,
            "route": job.route,
            "oldest_version": job.oldest_version,
            "wanted_groups": job.wanted_groups,
            "submitted_at": job.submitted_at,
            "configuration_revision": job.configuration_revision,
            "items": [_item_to_json(item) for item in job.items],
            # Earlier builds refuse items with fields that they do not know.
            "prompts": [
                (item.prompt_parts, item.max_output_tokens) for item in job.items
            ],
        }
    )


def decode_job(content: bytes) -> Job:
    """Decode a job; fields that this build does not know are ignored.

    Raises
    ------
    ValueError
        The content is not a valid job.
    """
    try:
        values = orjson.loads(content)
        items = tuple(_item_from_json(item) for item in values.pop("items"))
        prompts = values.get("prompts", ())
        if len(prompts) == len(items):
            items = tuple(map(_add_prompt, items, prompts))
        known = {name: values[name] for name in JOB_FIELDS if name in values}
        return Job(items=items, **known)
    except (KeyError, TypeError, AttributeError) as error:
        raise ValueError(f"not a job: {error!r}") from error


def encode_result(result: JobResult) -> bytes:
    """Encode a result."""
    encoded = orjson.dumps(
        [result.id, result.state, result.text, result.versions, result.score]
    )
    # Copies the bytes, because the encoder's buffer takes eight bytes per character and
    # results stay in memory.
    return bytes(memoryview(encoded))


def max_encoded_bytes(result: JobResult) -> int:
    r"""Return a bound on the encoded size of a result, without encoding it.

    Examples
    --------
    >>> result = JobResult("a", "completed", "\x01" * 10)
    >>> max_encoded_bytes(result) >= len(encode_result(result))
    True
    """
    chars = len(result.id) + len(result.text) + len(result.score)
    versions = len(result.versions) * (len(str(2**31)) + 1)
    return chars * MAX_BYTES_PER_CHAR + versions + RESULT_OVERHEAD_BYTES


def decode_result(content: bytes) -> JobResult:
    """Decode a result.

    Raises
    ------
    ValueError
        The content is not a valid result.

    Examples
    --------
    >>> decode_result(encode_result(JobResult("a", "completed", "x", (1, 2), "s")))
    JobResult(id='a', state='completed', versions=(1, 2), score='s')
    """
    return _result_from_json(orjson.loads(content))


def encode_results(results: list[JobResult]) -> bytes:
    """Encode the results of one commit."""
    return orjson.dumps([orjson.Fragment(encode_result(r)) for r in results])


def decode_results(content: bytes) -> list[JobResult]:
    """Decode the results of one commit.

    Raises
    ------
    ValueError
        The content is not a valid list of results.
    """
    return [_result_from_json(values) for values in orjson.loads(content)]


def encode_transcripts(
    transcripts: dict[str, Transcript], max_bytes: int | None = None
) -> bytes:
    """Encode partial transcripts, keyed by item id.

    Parameters
    ----------
    max_bytes : int or None
        Largest size of the result; the shortest transcripts are left out first. None
        if there is no limit.
    """
    longest_first = sorted(transcripts.items(), key=lambda entry: -len(entry[1].events))
    size, entries = len(b"{}"), {}
    for item, t in longest_first:
        entry = orjson.dumps([t.events, t.versions, t.failures, t.software])
        entry_size = len(orjson.dumps(item)) + len(b":,") + len(entry)
        if max_bytes is None or size + entry_size <= max_bytes:
            size += entry_size
            entries[item] = orjson.Fragment(entry)
    return orjson.dumps(entries)


def decode_transcripts(content: bytes) -> dict[str, Transcript]:
    """Decode partial transcripts, keyed by item id.

    Earlier builds stored no software version. Which one made such a text is not known,
    so it is left out.

    Raises
    ------
    ValueError
        The content does not hold valid transcripts.
    """
    try:
        return {
            item: _transcript_from_json(*values)
            for item, values in orjson.loads(content).items()
        }
    except (TypeError, AttributeError) as error:
        raise ValueError(f"not a mapping of transcripts: {error!r}") from error


def _transcript_from_json(
    events: Any, versions: Any, failures: Any, software: Any = None
) -> Transcript:
    if software is None:
        return Transcript(failures=int(failures))
    return Transcript(list(events), list(versions), int(failures), str(software))


def _result_from_json(values: Any) -> JobResult:
    try:
        item, state, text, versions, score = values
        return JobResult(item, state, text, tuple(versions), score)
    except (TypeError, ValueError) as error:
        raise ValueError(f"not a result: {error!r}") from error


def _add_prompt(item: JobItem, prompt: Any) -> JobItem:
    parts, max_output_tokens = prompt
    return evolve(
        item,
        prompt_parts=tuple((part, tokens) for part, tokens in parts),
        max_output_tokens=max_output_tokens,
    )


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
