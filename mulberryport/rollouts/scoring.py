"""Client of scoring services.

A score is requested idempotently: the ``Idempotency-Key`` depends only on the slot and
the text, so the service recognizes a repeated request.
"""

import math
from collections.abc import Callable

import eventlet
import xxhash

from ..outcomes import Done, Outcome, Unknown
from ..runtime.clock import boottime
from ..runtime.http import call_json
from ..tables import Tables
from ..targets import Dispatcher, ShedError, WorkRequest
from ..telemetry import define as define_event
from ..telemetry import log
from .model import Sample, StepSpec

__all__ = ["make_scorer"]

SCORING_FAILED = define_event(
    904,
    "scoring_failed",
    "warning",
    "A scoring service returned no score; the request is retried.",
)

CALL_TIMEOUT_S = 10.0
FIRST_RETRY_DELAY_S = 0.2
MAX_RETRY_DELAY_S = 5.0


def make_scorer(
    spec: StepSpec, dispatcher: Dispatcher, get_tables: Callable[[], Tables]
) -> Callable[[Sample], float]:
    """Return a function that requests the score of a sample.

    The function retries until the service returns a score. Only cancelling the attempt
    that calls it ends it early.
    """

    def score(sample: Sample) -> float:
        delay = FIRST_RETRY_DELAY_S
        while True:
            outcome = _request_score(spec, sample, dispatcher, get_tables())
            if isinstance(outcome, Done):
                return outcome.value
            log(SCORING_FAILED, route=spec.scoring_route, error=outcome.reason)
            eventlet.sleep(delay)
            delay = min(MAX_RETRY_DELAY_S, 2 * delay)

    return score


def _request_score(
    spec: StepSpec, sample: Sample, dispatcher: Dispatcher, tables: Tables
) -> Outcome[float]:
    route = tables.routes.get(spec.scoring_route)
    if route is None:
        return Unknown(f"route {spec.scoring_route} does not exist")
    work = WorkRequest(
        pool=route.pool,
        workspace=spec.id.workspace,
        priority=route.priority,
        deadline=boottime() + CALL_TIMEOUT_S,
        restartable=True,
    )
    body = {
        "prompt": spec.groups[sample.group].prompt,
        "tokens": sample.tokens,
        "group": sample.group,
        "index": sample.index,
    }
    text = xxhash.xxh128_hexdigest("\x00".join(sample.tokens).encode())
    key = f"{spec.id.key}/{sample.group}/{sample.index}/{text}"
    try:
        with dispatcher.assign(work) as assignment:
            outcome = call_json(
                "POST",
                f"http://{assignment.address}{route.path}",
                body,
                timeout=CALL_TIMEOUT_S,
                headers={"Idempotency-Key": key},
            )
    except ShedError as error:
        return Unknown(str(error))
    if not isinstance(outcome, Done):
        return outcome
    reply = outcome.value
    value = reply.body.get("score") if isinstance(reply.body, dict) else None
    if reply.status != 200 or type(value) not in (int, float):
        return Unknown(f"status {reply.status} without a score")
    if not math.isfinite(value):
        return Unknown(f"{value} is not a score")
    return Done(float(value))
