"""Tests of what programs do before they have read a table, or with an empty one."""

import pytest

from ...coordination.tests.builders import MemoryStore
from ...gateway import RefusalError
from ...jobs.tests.builders import JobDaemon, make_job
from ...runtime.clock import boottime
from ...tables import Snapshot, SnapshotHolder, Tables, Workspace
from ..batches import BatchInterface


def test_reading_a_job_needs_a_key_even_if_all_keys_were_withdrawn():
    # Guards against a table of keys that is empty being taken for a platform without
    # keys: the job was then reported as not existing.
    holder = SnapshotHolder()
    tables = Tables(workspaces={"roads": Workspace(name="roads")})
    holder.adopt(Snapshot(1, "first", tables), {})
    daemon = JobDaemon(MemoryStore())
    daemon.jobs.submit(make_job(), boottime() + 2)
    batches = BatchInterface(holder, daemon.jobs, lambda: 1000.0)
    environ = {
        "REQUEST_METHOD": "GET",
        "PATH_INFO": "/mulberryport/lots/job1",
        "HTTP_X_API_KEY": "withdrawn",
    }
    with pytest.raises(RefusalError) as refusal:
        batches.intercept(environ, lambda status, headers: None, None)
    assert refusal.value.status == 401
    daemon.die()
