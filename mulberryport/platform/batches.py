"""Batch jobs in the platform's protocol."""

import base64
import binascii
from collections.abc import Callable, Iterable
from typing import Any

import orjson
from attrs import define

from ..gateway import OutcomeUnknownError, RefusalError
from ..gateway.active import ActiveRequest
from ..gateway.bodies import read_whole_body
from ..gateway.calls import CallerRequest
from ..gateway.paths import (
    AmbiguousPathError,
    check_path,
    match_route,
    path_readings,
)
from ..jobs import (
    Job,
    JobItem,
    JobService,
    RecordTooLargeError,
    ResultPage,
    ScoringCall,
)
from ..outcomes import Done, NotDone
from ..runtime.clock import boottime
from ..runtime.wsgi import StartResponse, query_values, respond
from ..tables import SnapshotHolder, Tables, find_key
from . import names
from .caller_headers import (
    check_field_value,
    check_header,
    forwardable_item_headers,
)
from .counts import parse_count

__all__ = ["BatchInterface", "parse_job", "parse_prompt_parts", "parse_token_counts"]

# Time before the caller's deadline at which waiting for the store ends.
RESPONSE_MARGIN_S = 0.3
DEFAULT_STORE_TIMEOUT_S = 4.0
MAX_BODY_BYTES = 32 * 1024 * 1024
MAX_WAIT_S = 1.0
# A store outage lasts a few seconds; callers shorten this delay to fit their deadline.
RETRY_AFTER_S = 2.0
MAX_PROMPT_PARTS = 64
MAX_PART_ID_CHARS = 64
MAX_PREFIX_CHARS = 8192
MAX_SHOWN_CHARS = 40
HEX_DIGITS = frozenset("0123456789abcdef")


def parse_job(
    content: bytes | bytearray,
    job_id: str,
    call: CallerRequest,
    now: float,
    revision: int,
) -> Job:
    """Decode a job from its submission.

    Parameters
    ----------
    content : bytes
        Body of the request.
    job_id : str
        Id of the request, which becomes the id of the job.
    call : CallerRequest
        The request, which determines the workspace, the host and the route.
    now : float
        Unix time in seconds.
    revision : int
        Revision of the configuration in force.

    Raises
    ------
    ValueError
        The body is not a valid job.
    """
    try:
        values = orjson.loads(content)
        items = tuple(_decode_item(entry, call.is_secret) for entry in values["items"])
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
            configuration_revision=revision,
        )
    except (AttributeError, KeyError, TypeError, binascii.Error) as error:
        raise ValueError(f"not a batch job: {error!r}") from error


def _decode_item(entry: dict[str, Any], is_secret: Callable[[str], bool]) -> JobItem:
    item_id = check_field_value(_decode_text(entry["id"]), "id of an item")
    try:
        return _decode_named_item(item_id, entry, is_secret)
    except ValueError as error:
        raise ValueError(f"item {item_id[:MAX_SHOWN_CHARS]!r}: {error}") from error


def _decode_named_item(
    item_id: str, entry: dict[str, Any], is_secret: Callable[[str], bool]
) -> JobItem:
    headers = {str(name): str(value) for name, value in entry["headers"].items()}
    for name, value in headers.items():
        check_header(name, value)
    lowercase_headers = {name.lower(): value for name, value in headers.items()}
    hint = lowercase_headers.get("x-length-hint", "")
    prefix = lowercase_headers.get(names.PROMPT_PREFIX.lower(), "")
    counts = lowercase_headers.get(names.TOKEN_COUNTS.lower(), "")
    prompt_tokens, max_output_tokens = parse_token_counts(counts)
    return JobItem(
        id=item_id,
        path=check_path(_decode_text(entry["path"])),
        headers=tuple(forwardable_item_headers(headers.items(), is_secret)),
        body=base64.b64decode(entry["body"], validate=True),
        group=str(entry.get("group") or ""),
        model=lowercase_headers.get(names.MODEL.lower(), ""),
        length_hint=parse_count(hint) or 0,
        prompt_parts=parse_prompt_parts(prefix) or _single_part(prompt_tokens),
        max_output_tokens=max_output_tokens,
        scoring=_decode_scoring_call(entry.get("scorer")),
    )


def _decode_scoring_call(entry: dict[str, Any] | None) -> ScoringCall | None:
    if entry is None:
        return None
    return ScoringCall(
        check_field_value(_decode_text(entry["id"]), "id of a scorer"),
        check_field_value(_decode_text(entry["host"]), "host of a scorer"),
        check_path(_decode_text(entry["path"])),
        base64.b64decode(entry["body"], validate=True),
    )


def parse_prompt_parts(text: str) -> tuple[tuple[str, int], ...]:
    """Return the parts of a prompt that a header names; none if it is malformed.

    Examples
    --------
    >>> parse_prompt_parts("9c2e41:300, 5d07b8:240")
    (('9c2e41', 300), ('5d07b8', 240))
    >>> parse_prompt_parts("9c2e41:300,5d07b8:-1")
    ()
    """
    if not text or len(text) > MAX_PREFIX_CHARS:
        return ()
    parts = []
    for entry in text.split(","):
        part, _, tokens_text = entry.strip().lower().partition(":")
        tokens = parse_count(tokens_text)
        if (
            not 0 < len(part) <= MAX_PART_ID_CHARS
            or not HEX_DIGITS.issuperset(part)
            or not tokens
        ):
            return ()
        parts.append((part, tokens))
    return tuple(parts) if len(parts) <= MAX_PROMPT_PARTS else ()


def parse_token_counts(text: str) -> tuple[int, int]:
    """Return the tokens of the prompt and of the longest answer; 0 if malformed.

    Examples
    --------
    >>> parse_token_counts("540,400"), parse_token_counts("540"), parse_token_counts("")
    ((540, 400), (0, 0), (0, 0))
    """
    prompt_text, _, output_text = text.partition(",")
    prompt, output = parse_count(prompt_text), parse_count(output_text)
    return (0, 0) if prompt is None or output is None else (prompt, output)


def _single_part(tokens: int) -> tuple[tuple[str, int], ...]:
    """Return the parts of a prompt of which only the length is known."""
    return (("", tokens),) if tokens else ()


def _decode_text(value: object) -> str:
    if not isinstance(value, str) or not value:
        raise TypeError(f"{value!r} is not text")
    return value


@define(eq=False)
class BatchInterface:
    """Serves the calls that submit, read and end batch jobs."""

    snapshot_holder: SnapshotHolder
    jobs: JobService
    now: Callable[[], float]
    is_behind: Callable[[], bool] = lambda: False

    def submit(self, call: CallerRequest) -> Iterable[bytes]:
        """Accept the job in an admitted request."""
        environ = call.environ
        job_id = environ.get("HTTP_X_REQUEST_ID", "")
        if call.method != "POST" or not job_id or "/" in job_id:
            raise RefusalError(400, "a batch job is a POST with an id")
        content = read_whole_body(environ, MAX_BODY_BYTES)
        try:
            revision = self.snapshot_holder.snapshot.revision
            job = parse_job(content, job_id, call, self.now(), revision)
            _check_paths(job, self.snapshot_holder.snapshot.tables)
        except ValueError as error:
            raise RefusalError(400, str(error)) from error
        # From here on the job may have been created, even if this request fails.
        call.active.changes_state = True
        del content
        try:
            outcome = self.jobs.submit(job, boottime() + _store_timeout_s(environ))
        except RecordTooLargeError as error:
            raise RefusalError(413, str(error)) from error
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
        """Serve a call about a job; return None for other requests."""
        method, path = environ["REQUEST_METHOD"], environ["PATH_INFO"]
        if path.startswith(names.RESULTS_PATH):
            job_id = path.removeprefix(names.RESULTS_PATH)
            workspace = self._authenticate(environ)
            if method == "GET":
                return self._serve_results(environ, start_response, job_id, workspace)
            if method == "DELETE":
                active.changes_state = True
                return self._serve_end(start_response, job_id, workspace)
        elif path.startswith(names.ITEMS_PATH) and method == "GET":
            job_id = path.removeprefix(names.ITEMS_PATH)
            workspace = self._authenticate(environ)
            return self._serve_item_body(environ, start_response, job_id, workspace)
        return None

    def _authenticate(self, environ: dict[str, Any]) -> str:
        tables = self.snapshot_holder.snapshot.tables
        key = environ.get("HTTP_X_API_KEY") or ""
        if not tables.workspaces:
            return ""
        record = find_key(tables, key) if key else None
        if record is None and self.is_behind():
            raise RefusalError(503, "a newer configuration is not read yet")
        if record is None:
            raise RefusalError(401, "the key is not valid")
        return record.workspace

    def _serve_results(
        self,
        environ: dict[str, Any],
        start_response: StartResponse,
        job_id: str,
        workspace: str,
    ) -> Iterable[bytes]:
        text = query_values(environ).get("after", "0")
        after = parse_count(text)
        if after is None:
            raise RefusalError(400, f"position {text[:40]!r} is not a whole number")
        wait_s = (parse_count(environ.get("HTTP_X_WAIT_MS", "")) or 0) / 1000
        outcome = self.jobs.read(job_id, workspace, after, min(wait_s, MAX_WAIT_S))
        page = _unwrap_outcome(outcome, job_id)
        body = _render_page(page, after)
        start_response(
            "200 OK",
            [
                ("Content-Type", "application/json"),
                ("Content-Length", str(len(body))),
            ],
        )
        return [body]

    def _serve_item_body(
        self,
        environ: dict[str, Any],
        start_response: StartResponse,
        job_id: str,
        workspace: str,
    ) -> Iterable[bytes]:
        item_id = query_values(environ).get("id", "")
        body = _unwrap_outcome(
            self.jobs.read_item_body(job_id, workspace, item_id), item_id
        )
        start_response(
            "200 OK",
            [
                ("Content-Type", "application/octet-stream"),
                ("Content-Length", str(len(body))),
            ],
        )
        return [body]

    def _serve_end(
        self, start_response: StartResponse, job_id: str, workspace: str
    ) -> Iterable[bytes]:
        outcome = self.jobs.end(job_id, workspace)
        if isinstance(outcome, Done):
            if not outcome.value:
                raise RefusalError(404, f"there is no batch job {job_id[:80]}")
            return respond(start_response, 200, {})
        # Ending a job is idempotent, so the caller can repeat the call.
        raise OutcomeUnknownError(504, outcome.reason)


def _check_paths(job: Job, tables: Tables) -> None:
    """Check that the paths of a job's requests are not ambiguous.

    Raises
    ------
    ValueError
        A path belongs to different routes, depending on how it is read.
    """
    for item in job.items:
        requests = [(item.path, job.host)]
        if item.scoring is not None:
            requests.append((item.scoring.path, item.scoring.host))
        for path, host in requests:
            try:
                if path_readings(path):
                    match_route(tables, path, host)
            except AmbiguousPathError as error:
                shown = item.id[:MAX_SHOWN_CHARS]
                raise ValueError(f"item {shown!r}: {error}") from error


def _store_timeout_s(environ: dict[str, Any]) -> float:
    """Return the time in seconds to wait for the store."""
    deadline_ms = parse_count(environ.get("HTTP_X_DEADLINE_MS", ""))
    if deadline_ms is None:
        return DEFAULT_STORE_TIMEOUT_S
    return max(0.0, deadline_ms / 1000 - RESPONSE_MARGIN_S)


def _unwrap_outcome(outcome: Any, name: str) -> Any:
    """Return the value of an outcome, or raise a refusal.

    Only a definite outcome is refused with status 404.
    """
    if not isinstance(outcome, Done):
        raise RefusalError(503, outcome.reason, RETRY_AFTER_S)
    if outcome.value is None:
        raise RefusalError(404, f"there is no {name[:80]}")
    return outcome.value


def _render_page(page: ResultPage, after: int) -> bytes:
    """Encode a page of results in the platform's format."""
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
