"""Batch jobs on the platform's wire."""

import base64
import binascii
from collections.abc import Callable, Iterable
from typing import Any

import orjson
from attrs import define

from ..gateway import OutcomeUnknownError, RefusalError
from ..gateway.active import ActiveRequest
from ..gateway.calls import CallerRequest
from ..jobs import Job, JobItem, JobService, ResultPage, ScoringCall
from ..outcomes import Done, NotDone
from ..runtime.clock import boottime
from ..runtime.wsgi import StartResponse, query_values, respond
from ..tables import SnapshotHolder, find_key
from . import names

__all__ = ["BatchInterface", "parse_job"]

# Left of the caller's time when the store is not waited for any longer.
ANSWER_MARGIN_S = 0.3
DEFAULT_PATIENCE_S = 4.0
MAX_BODY_BYTES = 32 * 1024 * 1024
MAX_WAIT_S = 1.0
# A store outage lasts some seconds; the caller uses as much of this as it has time.
RETRY_AFTER_S = 2.0


def parse_job(content: bytes, job_id: str, call: CallerRequest, now: float) -> Job:
    """Return a job from its submission.

    Parameters
    ----------
    content : bytes
        The body.
    job_id : str
        Id of the request.
    call : CallerRequest
        The submission; gives the workspace, the host and the route.
    now : float
        Seconds since 1970.

    Raises
    ------
    ValueError
        The body is no job.
    """
    try:
        values = orjson.loads(content)
        items = tuple(_item(entry) for entry in values["items"])
        if not items or len({item.id for item in items}) != len(items):
            raise ValueError("items must be there and have different ids")
        return Job(
            id=job_id,
            workspace=call.access.workspace,
            host=call.environ.get("HTTP_HOST", ""),
            route=call.access.route.name,
            items=items,
            oldest_version=int(values.get("min-version") or 0),
            wanted_groups=int(values.get("target-groups") or 0),
            submitted_at=now,
        )
    except (AttributeError, KeyError, TypeError, binascii.Error) as error:
        raise ValueError(f"not a batch job: {error!r}") from error


def _item(entry: dict[str, Any]) -> JobItem:
    headers = {str(name): str(value) for name, value in entry["headers"].items()}
    lower = {name.lower(): value for name, value in headers.items()}
    scorer = entry.get("scorer")
    hint = lower.get("x-length-hint", "")
    return JobItem(
        id=_text(entry["id"]),
        path=_text(entry["path"]),
        headers=tuple(headers.items()),
        body=base64.b64decode(entry["body"], validate=True),
        group=str(entry.get("group") or ""),
        model=lower.get(names.MODEL.lower(), ""),
        length_hint=int(hint) if hint.isdigit() else 0,
        scoring=None
        if scorer is None
        else ScoringCall(
            _text(scorer["id"]),
            _text(scorer["host"]),
            _text(scorer["path"]),
            base64.b64decode(scorer["body"], validate=True),
        ),
    )


def _text(value: object) -> str:
    if not isinstance(value, str) or not value:
        raise TypeError(f"{value!r} is not text")
    return value


@define(eq=False)
class BatchInterface:
    """Answers the calls about batch jobs."""

    holder: SnapshotHolder
    jobs: JobService
    now: Callable[[], float]

    def submit(self, call: CallerRequest) -> Iterable[bytes]:
        """Accept the job of an admitted request."""
        environ = call.environ
        job_id = environ.get("HTTP_X_REQUEST_ID", "")
        if call.method != "POST" or not job_id or "/" in job_id:
            raise RefusalError(400, "a batch job is a POST with an id")
        content = environ["wsgi.input"].read(MAX_BODY_BYTES + 1)
        if len(content) > MAX_BODY_BYTES:
            raise RefusalError(413, f"a batch job has {MAX_BODY_BYTES} bytes at most")
        try:
            job = parse_job(content, job_id, call, self.now())
        except ValueError as error:
            raise RefusalError(400, str(error)) from error
        # From here on the job may exist, whatever becomes of this request.
        call.active.changes_state = True
        outcome = self.jobs.submit(job, boottime() + _patience(environ))
        if isinstance(outcome, Done):
            if not outcome.value:
                raise RefusalError(409, f"batch job {job_id} is not this workspace's")
            return respond(call.start_response, 202, {})
        if isinstance(outcome, NotDone):
            raise RefusalError(503, outcome.reason, RETRY_AFTER_S)
        raise OutcomeUnknownError(504, outcome.reason)

    def intercept(
        self,
        environ: dict[str, Any],
        start_response: StartResponse,
        active: ActiveRequest,
    ) -> Iterable[bytes] | None:
        """Answer a call about a job; None for other requests."""
        method, path = environ["REQUEST_METHOD"], environ["PATH_INFO"]
        if path.startswith(names.RESULTS_PATH):
            job_id = path.removeprefix(names.RESULTS_PATH)
            workspace = self._workspace(environ)
            if method == "GET":
                return self._read(environ, start_response, job_id, workspace)
            if method == "DELETE":
                active.changes_state = True
                return self._end(start_response, job_id, workspace)
        elif path.startswith(names.ITEMS_PATH) and method == "GET":
            job_id = path.removeprefix(names.ITEMS_PATH)
            workspace = self._workspace(environ)
            return self._body(environ, start_response, job_id, workspace)
        return None

    def _workspace(self, environ: dict[str, Any]) -> str:
        tables = self.holder.snapshot.tables
        key = environ.get("HTTP_X_API_KEY") or ""
        if not tables.keys:
            return ""
        record = find_key(tables, key) if key else None
        if record is None:
            raise RefusalError(401, "the key is not valid")
        return record.workspace

    def _read(
        self,
        environ: dict[str, Any],
        start_response: StartResponse,
        job_id: str,
        workspace: str,
    ) -> Iterable[bytes]:
        after = query_values(environ).get("after", "0")
        if not (after.isascii() and after.isdigit()):
            raise RefusalError(400, f"position {after[:40]!r} is not a whole number")
        wait = environ.get("HTTP_X_WAIT_MS", "0")
        seconds = int(wait) / 1000 if wait.isascii() and wait.isdigit() else 0.0
        outcome = self.jobs.read(
            job_id, workspace, int(after), min(seconds, MAX_WAIT_S)
        )
        page = _found(outcome, job_id)
        body = _render_page(page, int(after))
        start_response(
            "200 OK",
            [
                ("Content-Type", "application/json"),
                ("Content-Length", str(len(body))),
            ],
        )
        return [body]

    def _body(
        self,
        environ: dict[str, Any],
        start_response: StartResponse,
        job_id: str,
        workspace: str,
    ) -> Iterable[bytes]:
        item_id = query_values(environ).get("id", "")
        body = _found(self.jobs.read_item_body(job_id, workspace, item_id), item_id)
        start_response(
            "200 OK",
            [
                ("Content-Type", "application/octet-stream"),
                ("Content-Length", str(len(body))),
            ],
        )
        return [body]

    def _end(
        self, start_response: StartResponse, job_id: str, workspace: str
    ) -> Iterable[bytes]:
        outcome = self.jobs.end(job_id, workspace)
        if isinstance(outcome, Done):
            if not outcome.value:
                raise RefusalError(404, f"there is no batch job {job_id[:80]}")
            return respond(start_response, 200, {})
        # Ending a job again changes nothing, so the caller may simply repeat it.
        raise OutcomeUnknownError(504, outcome.reason)


def _patience(environ: dict[str, Any]) -> float:
    """Return the seconds for which the store may be waited for."""
    value = environ.get("HTTP_X_DEADLINE_MS", "")
    if not (value.isascii() and value.isdigit()):
        return DEFAULT_PATIENCE_S
    return max(0.0, int(value) / 1000 - ANSWER_MARGIN_S)


def _found(outcome: Any, name: str) -> Any:
    """Return what was found, or refuse; only a certain answer is a 404."""
    if not isinstance(outcome, Done):
        raise RefusalError(503, outcome.reason, RETRY_AFTER_S)
    if outcome.value is None:
        raise RefusalError(404, f"there is no {name[:80]}")
    return outcome.value


def _render_page(page: ResultPage, after: int) -> bytes:
    """Return results as the platform's callers read them."""
    results = []
    for content in page.results:
        item, state, text, versions, score = orjson.loads(content)
        result = {"id": item, "state": state, "text": text, "versions": versions}
        if score:
            result["score"] = score
        results.append(result)
    return orjson.dumps(
        {
            "total": page.total,
            "results": results,
            "next": min(page.total, after) + len(results),
        }
    )
