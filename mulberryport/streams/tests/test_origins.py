"""Tests of where streams of callers began."""

from types import SimpleNamespace

import eventlet
import pytest

from ...coordination import Put, Transaction
from ...coordination.tests.builders import MemoryStore
from ...membership import Member, Members
from ...outcomes import Done, NotDone
from ...runtime.clock import boottime
from ...tables import Pool, Snapshot, Tables
from ...targets import TargetDirectory, directory
from ...targets.vm_list import ListedVm
from .. import copies, versions
from ..copies import OriginCopies
from ..origins import StreamOrigin, StreamOrigins, stream_key

OLD, NEW = StreamOrigin("p", "old"), StreamOrigin("p", "new")


class Daemon:
    """The origins of one daemon, whose targets have the given software versions."""

    def __init__(self, store, *software):
        self.now = 1000.0
        self.directory = TargetDirectory()
        pool = Pool(name="p", kind="model-engine", concurrency=4, queue=4)
        self.directory.apply_snapshot(Snapshot(1, "c", Tables(pools={"p": pool})))
        self.list(*software)
        self.origins = StreamOrigins(store, lambda: self.now, self.directory)

    def list(self, *software):
        """List one target of each version."""
        self.directory.apply_vm_list(
            ListedVm(f"t-{v}", "127.0.0.1:1", "a", "p", False, False, software=v)
            for v in software
        )

    def find(self, request_id, longest_s=10.0, route="notes"):
        """Return where a stream began."""
        key = stream_key("w", request_id) if request_id else ""
        return self.origins.find(key, route, longest_s)

    def begin(self, request_id, origin, longest_s=10.0):
        """Begin a stream."""
        self.origins.begin(stream_key("w", request_id), "notes", origin, longest_s)


def test_streams_of_a_single_version_are_known_after_all_daemons_were_killed():
    # Guards against streams that are refused although there is only one version, and
    # against a write of the store for each of them.
    store = MemoryStore()
    daemon = Daemon(store, "old")
    for number in range(50):
        daemon.begin(f"r{number}", OLD)
    daemon.origins.run_once()
    written = len(store.items)
    assert written == 1
    assert Daemon(store, "old").find("r7") == OLD


def test_streams_of_two_versions_are_known_after_all_daemons_were_killed():
    # Guards against take-ups at a version that is guessed: the part that callers had
    # came from another version.
    store = MemoryStore()
    daemon = Daemon(store, "old", "new")
    daemon.begin("r1", OLD)
    daemon.begin("r2", NEW)
    daemon.origins.run_once()
    restarted = Daemon(store, "old", "new")
    assert (restarted.find("r1"), restarted.find("r2")) == (OLD, NEW)


def test_a_stream_whose_origin_was_not_written_is_not_guessed():
    # Guards against a guess when a daemon was killed before it wrote where its streams
    # began, also if only one of the versions is still in service.
    store = MemoryStore()
    daemon = Daemon(store, "old", "new")
    daemon.begin("r1", OLD)
    daemon.begin("r2", NEW)
    assert Daemon(store, "old", "new").find("r1") is None
    assert Daemon(store, "new").find("r1") is None
    assert Daemon(store, "new").find("") is None


def test_streams_that_run_when_a_second_version_appears_become_known():
    # Guards against streams that began while there was one version and are refused, or
    # continued at the other one, once there are two.
    store = MemoryStore()
    daemon = Daemon(store, "old")
    daemon.begin("r1", OLD)
    daemon.origins.run_once()
    daemon.list("old", "new")
    daemon.origins.run_once()
    other = Daemon(store, "old", "new")
    other.begin("r2", NEW)
    assert Daemon(store, "new").find("r1") == OLD


def test_a_version_at_which_no_stream_began_lately_is_left_out():
    # Guards against streams that are refused for ever after a change of version.
    store = MemoryStore()
    daemon = Daemon(store, "old", "new")
    daemon.begin("r1", OLD)
    daemon.now += versions.STREAM_LIFETIME_S + 3 * versions.CONFIRMATION_INTERVAL_S
    daemon.list("new")
    daemon.begin("r2", NEW)
    restarted = Daemon(store, "new")
    restarted.now = daemon.now
    assert restarted.find("r3") == NEW


def test_streams_that_may_outlast_the_record_are_not_resolved_by_it():
    # Guards against a version that left the record while a long stream of it runs.
    store = MemoryStore()
    Daemon(store, "old").begin("r1", OLD)
    assert Daemon(store, "old").find("r1", longest_s=3600.0) is None


def test_nothing_is_guessed_while_the_store_is_away():
    # Guards against a daemon that resolves streams by what it knew before an outage,
    # and one that forgets its own streams in an outage.
    store = MemoryStore()
    daemon, other = Daemon(store, "old"), Daemon(store, "old")
    daemon.begin("r1", OLD)
    store.down = True
    assert daemon.find("r1") == OLD
    assert other.find("r1") is None


def test_first_events_do_not_wait_for_a_store_that_is_away():
    # Guards against streams that begin late in an outage, one after another.
    class HangingStore(MemoryStore):
        def read(self, key):
            eventlet.sleep(60)

    daemon = Daemon(HangingStore(), "old")
    started_at = boottime()
    for number in range(20):
        daemon.begin(f"r{number}", OLD)
    assert boottime() - started_at < 2 * versions.MAX_CONFIRMATION_WAIT_S


def test_a_malformed_record_resolves_nothing():
    # Guards against a version that is read from bytes that another program wrote.
    store = MemoryStore()
    daemon = Daemon(store, "old")
    daemon.begin("r1", OLD)
    key = next(iter(store.items))
    for content in (b"[]", b"\xff", b'{"old": "x"}', b"null"):
        store.commit(Transaction(puts=(Put(key, content),)))
        assert Daemon(store, "old").find("r1") is None


@pytest.mark.parametrize("lost", [False, True])
def test_daemons_that_begin_at_different_versions_at_once_record_both(lost):
    # Guards against a version that is lost when two daemons change the record together,
    # or when the answer of the store is lost.
    store = MemoryStore()
    daemons = [Daemon(store, "old", "new") for _ in range(6)]
    store.losing = lost
    threads = [
        eventlet.spawn(daemon.begin, f"r{number}", OLD if number % 2 else NEW)
        for number, daemon in enumerate(daemons)
    ]
    for thread in threads:
        thread.wait()
    store.losing = False
    assert Daemon(store, "old").find("unknown") is None


def test_a_stream_that_was_passed_on_whole_is_forgotten():
    # Guards against memory and writes for streams that nobody takes up.
    store = MemoryStore()
    daemon = Daemon(store, "old", "new")
    daemon.begin("r1", OLD)
    daemon.origins.end(stream_key("w", "r1"))
    written = len(store.items)
    daemon.origins.run_once()
    assert len(store.items) == written


def test_a_route_that_was_moved_to_another_pool_resolves_nothing_by_its_record():
    # Guards against a stream that goes on at the pool to which its route was moved, and
    # whose only version did not begin it.
    store = MemoryStore()
    daemon = Daemon(store, "old")
    daemon.begin("r1", OLD)
    assert Daemon(store, "old").find("r1") == OLD
    daemon.begin("r2", StreamOrigin("q", "old"))
    assert Daemon(store, "old").find("r1") is None
    assert Daemon(store, "old").find("r1", route="other") is None


class Fleet:
    """Daemons that keep copies for each other, without a network."""

    def __init__(self, store, count=4, listed=("old",)):
        self.handlers, self.down, self.daemons = {}, set(), {}
        for number in range(count):
            vm = f"vm{number}"
            members = Members(Member(vm, f"z{number % 2}", "127.0.0.1:1"))
            for other in range(count):
                if other != number:
                    zone = f"z{other % 2}"
                    members.record_heartbeat(
                        Member(
                            f"vm{other}", zone, "127.0.0.1:1", 1, heard_at=boottime()
                        )
                    )
            daemon = Daemon(store, *listed)
            daemon.origins.copies = OriginCopies(members, self)
            methods = self.handlers[vm] = {}
            server = SimpleNamespace(register=methods.__setitem__)
            daemon.origins.copies.register(server)
            self.daemons[vm] = daemon

    def call(self, vm, method, request, timeout):
        """Call a daemon, unless it is down."""
        eventlet.sleep(0)
        if vm in self.down:
            return NotDone("down")
        return Done(self.handlers[vm][method](request))

    def kill(self, vm):
        """End a daemon with all that it has in memory."""
        self.down.add(vm)

    def others(self, vm):
        """Return the other daemons."""
        return [daemon for name, daemon in self.daemons.items() if name != vm]


@pytest.mark.parametrize("is_recorded", [False, True])
def test_streams_of_a_version_that_could_not_be_recorded_go_on_there(is_recorded):
    # Guards against streams that begin in an outage of the store at a version that its
    # record lacks, and are taken up at the only version of the record after their
    # daemon was killed.
    store = MemoryStore()
    fleet = Fleet(store)
    first = fleet.daemons["vm0"]
    if is_recorded:
        first.begin("r0", OLD)
    for daemon in fleet.daemons.values():
        daemon.list("old", "new")
    with store.outage():
        first.begin("r1", OLD)
        first.begin("r2", NEW)
        fleet.kill("vm0")
    for daemon in fleet.others("vm0"):
        assert (daemon.find("r1"), daemon.find("r2")) == (OLD, NEW)


@pytest.mark.parametrize("has_left", [False, True])
def test_a_stream_is_not_guessed_if_another_version_may_have_begun_it(has_left):
    # Guards against the same where nobody keeps a copy, also after the version left.
    store = MemoryStore()
    daemon, other = Daemon(store, "old"), Daemon(store, "old")
    daemon.begin("r0", OLD)
    for each in (daemon, other):
        each.list("old", "new")
    with store.outage():
        daemon.begin("r1", NEW)
    if has_left:
        other.list("old")
    assert other.find("r1") is None


def test_a_daemon_that_is_out_of_step_finds_streams_of_a_version_it_does_not_know():
    # Guards against a daemon that stood still or was cut off while a new version came:
    # its list of targets and the record have only the old one.
    store = MemoryStore()
    fleet = Fleet(store)
    fleet.daemons["vm0"].begin("r0", OLD)
    fleet.daemons["vm1"].list("old", "new")
    with store.outage():
        fleet.daemons["vm1"].begin("r1", NEW)
        fleet.kill("vm1")
    assert fleet.daemons["vm3"].find("r1") == NEW


def test_streams_that_run_when_a_version_comes_in_an_outage_are_copied():
    # Guards against streams of the old version that are refused, because their daemon
    # was killed before it could write their origins.
    store = MemoryStore()
    fleet = Fleet(store)
    first = fleet.daemons["vm0"]
    for number in range(100):
        first.begin(f"r{number}", OLD)
    for daemon in fleet.daemons.values():
        daemon.list("old", "new")
    with store.outage():
        first.origins.run_once()
    fleet.kill("vm0")
    assert fleet.daemons["vm2"].find("r7") == OLD


def test_no_copies_are_made_while_there_is_one_version():
    # Guards against calls for each stream in normal operation.
    fleet = Fleet(MemoryStore())
    for number in range(10):
        fleet.daemons["vm0"].begin(f"r{number}", OLD)
    fleet.daemons["vm0"].origins.run_once()
    assert not any(daemon.origins.copies._kept for daemon in fleet.daemons.values())


def test_first_events_do_not_wait_for_daemons_that_are_down():
    # Guards against streams that begin late because the keeper of a copy is gone.
    fleet = Fleet(MemoryStore(), listed=("old", "new"))
    fleet.down.update({"vm1", "vm2", "vm3"})
    started_at = boottime()
    for number in range(20):
        fleet.daemons["vm0"].begin(f"r{number}", OLD)
    assert boottime() - started_at < 1.0


def test_copies_are_bounded(monkeypatch):
    # Guards against memory that grows with the streams of other daemons.
    monkeypatch.setattr(copies, "MAX_ORIGINS", 5)
    fleet = Fleet(MemoryStore(), count=2, listed=("old", "new"))
    for number in range(20):
        fleet.daemons["vm0"].begin(f"r{number}", OLD)
    assert len(fleet.daemons["vm1"].origins.copies._kept) == 5
    assert fleet.daemons["vm1"].find("r19") == OLD


def test_software_versions_that_left_long_ago_are_forgotten(monkeypatch):
    # Guards against memory that grows with each release, and against streams that are
    # refused for a version that nobody has had for long.
    monkeypatch.setattr(directory, "FORMER_SOFTWARE_LIFETIME_S", 0.05)
    daemon = Daemon(MemoryStore(), "old")
    daemon.list("new")
    assert daemon.directory.software_listed_within("p", 150.0) == {"old", "new"}
    eventlet.sleep(0.1)
    daemon.list("new")
    assert daemon.directory.software_listed_within("p", 150.0) == {"new"}
    assert set(daemon.directory._software_listed_at) == {("p", "new")}
