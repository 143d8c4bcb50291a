"""Tests of the mirrors of an entry daemon."""

import eventlet

from ...coordination import Session
from ...jobs.repository import LIVE_PREFIX
from ...membership.tests.builders import fleet_members
from ...outcomes import Unknown
from ...runtime.clock import boottime
from ...runtime.wsgi import listen, serve
from ...standins.platform_store import PlatformStandin
from ...targets import TargetDirectory
from ..mirrors import StoreMirrors
from ..store import PlatformStore

# Time after the end of a job's acknowledgement in which its items may still be sent.
CANCEL_S = 3.0


class SilentPeers:
    """Peers whose connections have fallen silent."""

    def call(self, vm, method, request, timeout):
        """Return without an answer after the time-out."""
        eventlet.sleep(timeout)
        return Unknown("no answer")


def test_end_of_a_job_is_seen_in_time_if_a_provider_falls_silent():
    # Guards against items of an ended job that are sent for 10 s: the heartbeats of the
    # provider go on while the connection of the watch is silent.
    standin = PlatformStandin()
    listener = listen("127.0.0.1:0")
    host, port = listener.getsockname()
    serve(listener, standin)
    store = PlatformStore(f"{host}:{port}")
    members = fleet_members(60, 3)
    mirrors = StoreMirrors(
        store, members, SilentPeers(), Session(store), TargetDirectory(), lambda: None
    )
    watch = mirrors.watches[LIVE_PREFIX]
    watch.providers = lambda: [members.live()[3].vm]
    watch.is_silent = lambda vm: False
    watch._newest_revision = 0
    started_at = boottime()
    revision = store.list(LIVE_PREFIX).value.revision
    eventlet.spawn_after(0.1, standin.put, f"{LIVE_PREFIX}job/1", {"state": "ended"})
    changes = watch.watch(LIVE_PREFIX, revision, 25.0).value.changes
    assert [change.key for change in changes] == [f"{LIVE_PREFIX}job/1"]
    assert boottime() - started_at < CANCEL_S
