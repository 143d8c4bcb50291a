"""Parsing and validation of trainer requests."""

import base64
import binascii
import re
from typing import Any

from attrs import frozen

from ..runtime.wsgi import BadRequestError
from .model import GroupSpec, StepId, StepSpec

__all__ = [
    "PullRequest",
    "parse_pull",
    "parse_received",
    "parse_spec",
    "parse_step_id",
    "parse_version",
    "require_object",
]

MAX_SLOTS = 16384
MAX_TOKENS = 65536
MAX_VERSION = 2**53
MAX_WAIT_S = 30.0
MAX_PULL_LIMIT = 4096
DEFAULT_LIMIT = 256
MAX_PROMPT_CHARS = 1_000_000
STEP_NUMBER = re.compile(r"[0-9]{1,15}")
TRAINER_NAME = re.compile(r"[A-Za-z0-9._-]{1,128}")


@frozen
class PullRequest:
    """Body of a pull request.

    Parameters
    ----------
    weight_version : int
        Current weight version of the trainer.
    received : bytes
        Bitmap of the slots that the trainer has received.
    wait : float
        Maximum seconds to wait for the first sample.
    limit : int
        Maximum number of samples in the response.
    """

    weight_version: int
    received: bytes
    wait: float
    limit: int


def require_object(value: object) -> dict[str, Any]:
    """Return a JSON value if it is an object.

    Raises
    ------
    BadRequestError
        If the value is not an object.
    """
    if not isinstance(value, dict):
        raise BadRequestError("the body must be a JSON object")
    return value


def parse_step_id(workspace: str, trainer: str, step: str) -> StepId:
    """Return the id of a step from the segments of a request path.

    Examples
    --------
    >>> parse_step_id("roads", "warnings", "-1")
    Traceback (most recent call last):
    ...
    mulberryport.runtime.wsgi.BadRequestError: step '-1' is not a whole number
    """
    if not TRAINER_NAME.fullmatch(trainer):
        raise BadRequestError("the trainer's name has other than letters, digits, ._-")
    if not STEP_NUMBER.fullmatch(step):
        raise BadRequestError(f"step {step[:40]!r} is not a whole number")
    return StepId(workspace, trainer, int(step))


def parse_spec(
    body: dict[str, Any], step_id: StepId, route: str, pool: str
) -> StepSpec:
    """Parse the specification of a step.

    Raises
    ------
    BadRequestError
        If a value is missing, of the wrong type or out of range.
    """
    groups = body.get("groups")
    if not isinstance(groups, list) or not 0 < len(groups) <= MAX_SLOTS:
        raise BadRequestError(f"groups must be a list of 1 to {MAX_SLOTS}")
    scoring_route = body.get("scoring_route", "")
    if not isinstance(scoring_route, str):
        raise BadRequestError("scoring_route must be text")
    spec = StepSpec(
        id=step_id,
        route=route,
        pool=pool,
        staleness_bound=_parse_integer(body, "staleness_bound", 0, MAX_VERSION),
        weight_version=parse_version(body, "weight_version"),
        groups=tuple(_parse_group(group) for group in groups),
        scoring_route=scoring_route,
    )
    if spec.slot_count > MAX_SLOTS:
        raise BadRequestError(
            f"a step has {spec.slot_count} samples; at most {MAX_SLOTS}"
        )
    return spec


def parse_received(body: dict[str, Any]) -> bytes:
    """Parse the bitmap of received slots; empty if the body has none."""
    text = body.get("received", "")
    if not isinstance(text, str):
        raise BadRequestError("received must be text in base64")
    try:
        received = base64.b64decode(text, validate=True)
    except (binascii.Error, ValueError) as error:
        raise BadRequestError(f"received is not base64: {error}") from None
    if len(received) > MAX_SLOTS // 8:
        raise BadRequestError(f"received has {len(received)} bytes, too many")
    return received


def parse_pull(body: dict[str, Any]) -> PullRequest:
    """Parse the body of a pull request.

    Raises
    ------
    BadRequestError
        If a value is missing, of the wrong type or out of range.
    """
    wait = body.get("wait", 0.0)
    # The comparison is also false for NaN and infinity.
    if type(wait) not in (int, float) or not 0 <= wait <= MAX_WAIT_S:
        raise BadRequestError(f"wait must be from 0 to {MAX_WAIT_S:g} seconds")
    limit = DEFAULT_LIMIT
    if "limit" in body:
        limit = _parse_integer(body, "limit", 1, MAX_PULL_LIMIT)
    return PullRequest(
        parse_version(body, "weight_version"),
        parse_received(body),
        float(wait),
        limit,
    )


def parse_version(body: dict[str, Any], name: str) -> int:
    """Parse a weight version; 0 means that there is none yet."""
    return _parse_integer(body, name, 0, MAX_VERSION)


def _parse_group(value: object) -> GroupSpec:
    group = require_object(value)
    prompt = group.get("prompt")
    if not isinstance(prompt, str) or not prompt or len(prompt) > MAX_PROMPT_CHARS:
        raise BadRequestError(
            f"prompt must be text of 1 to {MAX_PROMPT_CHARS} characters"
        )
    try:
        prompt.encode()
    except UnicodeEncodeError:
        raise BadRequestError("prompt is not valid Unicode") from None
    return GroupSpec(
        prompt,
        _parse_integer(group, "samples", 1, MAX_SLOTS),
        _parse_integer(group, "max_tokens", 1, MAX_TOKENS),
    )


def _parse_integer(body: dict[str, Any], name: str, low: int, high: int) -> int:
    value = body.get(name)
    # bool is a subclass of int in Python, but JSON booleans are not numbers.
    if type(value) is not int or not low <= value <= high:
        raise BadRequestError(f"{name} must be a whole number from {low} to {high}")
    return value
