"""Tests of batch jobs in the platform's protocol."""

import base64
import io

import orjson
import pytest
from attrs import define

from ...coordination.tests.builders import MemoryStore
from ...gateway import RefusalError
from ...jobs.repository import MAX_RECORD_BYTES
from ...jobs.tests.builders import JobDaemon, make_tables
from ...tables import Snapshot, SnapshotHolder
from ..batches import BatchInterface, parse_job
from .builders import KEY


@define
class Access:
    """What an admitted request may use."""

    workspace: str
    route: object


@define
class Active:
    """State of a request that is served."""

    changes_state: bool = False


@define
class Call:
    """An admitted request of a caller."""

    environ: dict
    access: Access
    active: Active
    start_response: object
    method: str = "POST"
    is_secret: object = KEY.__eq__


def make_call(body, responses):
    """Return a call that submits a job."""
    environ = {
        "HTTP_X_REQUEST_ID": "job1",
        "HTTP_HOST": "h.example",
        "HTTP_X_DEADLINE_MS": "2000",
        "CONTENT_LENGTH": str(len(body)),
        "wsgi.input": io.BytesIO(body),
    }
    access = Access("roads", make_tables().routes["drafts"])
    return Call(
        environ, access, Active(), lambda status, headers: responses.append(status)
    )


def make_submission(body_bytes):
    """Return the body of a submission with an item of some size."""
    body = base64.b64encode(bytes(body_bytes)).decode()
    item = {"id": "i1", "path": "/drafts/1", "headers": {}, "body": body}
    return orjson.dumps({"items": [item]})


@pytest.mark.parametrize("is_down", [False, True])
@pytest.mark.parametrize("body_bytes", [MAX_RECORD_BYTES * 3 // 4, 24_000_000])
def test_a_job_that_the_store_cannot_hold_is_refused_with_413(body_bytes, is_down):
    # Guards against a job within the limits of the configuration that is accepted in
    # an outage though the store cannot hold it, or refused only at its deadline.
    store = MemoryStore()
    daemon = JobDaemon(store)
    holder = SnapshotHolder()
    holder.adopt(Snapshot(1, "first", make_tables()), {})
    batches = BatchInterface(holder, daemon.jobs, lambda: 1000.0)
    store.down = is_down
    with pytest.raises(RefusalError) as refusal:
        batches.submit(make_call(make_submission(body_bytes), []))
    assert refusal.value.status == 413
    daemon.die()


def test_a_job_within_the_limit_is_accepted():
    store, responses = MemoryStore(), []
    daemon = JobDaemon(store)
    holder = SnapshotHolder()
    holder.adopt(Snapshot(1, "first", make_tables()), {})
    batches = BatchInterface(holder, daemon.jobs, lambda: 1000.0)
    batches.submit(make_call(make_submission(1_000_000), responses))
    assert responses[0].startswith("202")
    daemon.die()


def parse_item(headers, **values):
    """Return the item of a submission with some headers."""
    item = {"id": "i1", "path": "/drafts/1", "headers": headers, "body": "", **values}
    content = orjson.dumps({"items": [item]})
    return parse_job(content, "job1", make_call(b"", []), 1000.0, 1).items[0]


def test_prompt_of_an_item_is_read_from_its_headers():
    item = parse_item({"x-prompt-prefix": "9C2e:300,5d:9", "X-Token-Counts": "309,400"})
    assert item.prompt_parts == (("9c2e", 300), ("5d", 9))
    assert item.max_output_tokens == 400
    assert parse_item({"X-Token-Counts": "309,400"}).prompt_parts == (("", 309),)


@pytest.mark.parametrize(
    "prefix",
    ["x:1", "9c:", ":3", "9c", "9c:-1", "9c:0", "9c:nan", "9c:1,,5d:2", "9c:1" * 3000]
    + ["9c:99999999999", ",".join(["9c:1"] * 65), "9" * 65 + ":1"],
)
def test_malformed_prompt_counts_as_not_given(prefix):
    # Guards against a job that is refused, or weighed wrongly, for a header that only
    # helps to choose a target.
    item = parse_item({"X-Prompt-Prefix": prefix, "X-Token-Counts": "5,-1"})
    assert (item.prompt_parts, item.max_output_tokens) == ((), 0)


@pytest.mark.parametrize(
    "name",
    ["X-Api-Key", "X-Other", "X-Tenant", "x-TENANT", "X_Tenant", "Content-Length"]
    + ["transfer-encoding", "Host", "X-Request-Id", "X-Expect-Instance", "Connection"]
    + ["X-Expect-Version", "X-Deadline-Ms", "Last-Event-Id", "Kv-From", "Kv-Fetch"],
)
def test_headers_that_are_not_the_submitters_are_not_stored(name):
    # Guards against a key on disks and at engines, and against requests that are framed
    # or labelled by the submitter of an item.
    assert parse_item({name: KEY, "X-Model": "m"}).headers == (("X-Model", "m"),)


def test_a_header_that_the_header_connection_names_is_not_stored():
    headers = {"Connection": "X-Once", "X-Once": "1", "X-Model": "m"}
    assert parse_item(headers).headers == (("X-Model", "m"),)


SCORER = {"id": "s1", "host": "h.example", "path": "/score/1", "body": ""}


@pytest.mark.parametrize(
    "values",
    [
        {"headers": {"X-A\r\nX-Tenant": "boats"}},
        {"headers": {"X-A": "1\r\nX-Tenant: boats"}},
        {"headers": {"X-A": "1\r\n folded"}},
        {"headers": {"X-A": "1\n"}},
        {"headers": {"X-A": "\u20ac"}},
        {"headers": {"X A": "1"}},
        {"headers": {"": "1"}},
        {"path": "/drafts/1 HTTP/1.1\r\nX-Tenant: boats\r\n"},
        {"path": "/drafts/\u00e9"},
        {"path": "http://other.example/drafts/1"},
        {"scorer": {**SCORER, "id": "s1\r\n x"}},
        {"scorer": {**SCORER, "host": "h.example\r\n x"}},
        {"scorer": {**SCORER, "path": "score 1"}},
    ],
)
def test_an_item_that_cannot_be_sent_is_refused_by_its_name(values):
    # Guards against a job that is accepted though an item can never be sent.
    headers = values.pop("headers", {})
    with pytest.raises(ValueError, match="item 'i1'"):
        parse_item(headers, **values)


def test_an_item_whose_id_cannot_be_sent_is_refused():
    with pytest.raises(ValueError, match="id of an item"):
        parse_item({}, id="i1\r\n x")


@pytest.mark.parametrize(
    "values",
    [
        {"path": "/drafts/..%2Fscore/"},
        {"scorer": {**SCORER, "path": "/score/%2e%2e/drafts/1"}},
    ],
)
def test_a_job_with_an_ambiguous_path_is_refused(values):
    # Guards against an item that is authorized by one route and run by another.
    item = {"id": "i1", "path": "/drafts/1", "headers": {}, "body": "", **values}
    daemon = JobDaemon(MemoryStore())
    holder = SnapshotHolder()
    holder.adopt(Snapshot(1, "first", make_tables()), {})
    batches = BatchInterface(holder, daemon.jobs, lambda: 1000.0)
    with pytest.raises(RefusalError, match="item 'i1': the path is ambiguous") as error:
        batches.submit(make_call(orjson.dumps({"items": [item]}), []))
    assert error.value.status == 400
    daemon.die()
