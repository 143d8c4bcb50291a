"""Bodies of the trainers' requests, checked before anything is done with them."""

import base64
import binascii
import re
from typing import Any

from attrs import frozen

from ..runtime.wsgi import BadRequestError
from .model import GroupSpec, StepId, StepSpec

__all__ = [
    "PullBody",
    "parse_pull",
    "parse_received",
    "parse_spec",
    "parse_step_id",
    "parse_version",
    "read_object",
]

MAX_SLOTS = 16384
MAX_TOKENS = 65536
MAX_VERSION = 2**53
MAX_WAIT_S = 30.0
MAX_LIMIT = 4096
DEFAULT_LIMIT = 256
MAX_PROMPT = 1_000_000
STEP_NUMBER = re.compile(r"[0-9]{1,15}")
TRAINER_NAME = re.compile(r"[A-Za-z0-9._-]{1,128}")


@frozen
class PullBody:
    """What a pull says.

    Parameters
    ----------
    weight_version : int
        Version of the trainer now.
    received : bytes
        Bitmap of the slots that it has.
    wait : float
        Seconds to wait for the first sample.
    limit : int
        Samples at most.
    """

    weight_version: int
    received: bytes
    wait: float
    limit: int


def read_object(value: object) -> dict[str, Any]:
    """Return a JSON object.

    Raises
    ------
    BadRequestError
        The value is something else.
    """
    if not isinstance(value, dict):
        raise BadRequestError("the body must be a JSON object")
    return value


def parse_step_id(workspace: str, trainer: str, step: str) -> StepId:
    """Return the id of a step from the parts of a path.

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
    """Return the specification of a step.

    Raises
    ------
    BadRequestError
        A value is missing, of the wrong type or out of range.
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
        staleness_bound=_whole(body, "staleness_bound", 0, MAX_VERSION),
        weight_version=parse_version(body, "weight_version"),
        groups=tuple(_group(group) for group in groups),
        scoring_route=scoring_route,
    )
    if spec.slots > MAX_SLOTS:
        raise BadRequestError(f"a step has {spec.slots} samples; at most {MAX_SLOTS}")
    return spec


def parse_received(body: dict[str, Any]) -> bytes:
    """Return the bitmap of received slots; empty if there is none."""
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


def parse_pull(body: dict[str, Any]) -> PullBody:
    """Return what a pull says.

    Raises
    ------
    BadRequestError
        A value is missing, of the wrong type or out of range.
    """
    wait = body.get("wait", 0.0)
    # The comparison is false for NaN and infinity as well.
    if type(wait) not in (int, float) or not 0 <= wait <= MAX_WAIT_S:
        raise BadRequestError(f"wait must be from 0 to {MAX_WAIT_S:g} seconds")
    limit = DEFAULT_LIMIT
    if "limit" in body:
        limit = _whole(body, "limit", 1, MAX_LIMIT)
    return PullBody(
        parse_version(body, "weight_version"),
        parse_received(body),
        float(wait),
        limit,
    )


def parse_version(body: dict[str, Any], name: str) -> int:
    """Return a weight version; 0 stands for none yet."""
    return _whole(body, name, 0, MAX_VERSION)


def _group(value: object) -> GroupSpec:
    group = read_object(value)
    prompt = group.get("prompt")
    if not isinstance(prompt, str) or not prompt or len(prompt) > MAX_PROMPT:
        raise BadRequestError(f"prompt must be text of 1 to {MAX_PROMPT} characters")
    try:
        prompt.encode()
    except UnicodeEncodeError:
        raise BadRequestError("prompt is not valid Unicode") from None
    return GroupSpec(
        prompt,
        _whole(group, "samples", 1, MAX_SLOTS),
        _whole(group, "max_tokens", 1, MAX_TOKENS),
    )


def _whole(body: dict[str, Any], name: str, low: int, high: int) -> int:
    value = body.get(name)
    # True is an int for Python, but not for JSON.
    if type(value) is not int or not low <= value <= high:
        raise BadRequestError(f"{name} must be a whole number from {low} to {high}")
    return value
