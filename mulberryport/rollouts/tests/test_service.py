"""Tests of the rollout service with two daemons in one process, without a network."""

from types import SimpleNamespace

import eventlet
import pytest
from attrs import evolve

from ...membership import Member, Members
from ...outcomes import Done, NotDone
from ...runtime.clock import boottime
from ...tables import Pool, Route, Snapshot, Tables, Workspace
from ...targets.engine_client import TokenChunk
from ...usage import UsageCounters
from .. import GroupSpec, InvalidPullError, OpenResult, RolloutService
from ..reconciliation import ABANDONED_AFTER_S
from .builders import FakeEngines, make_spec

TABLES = Tables(
    workspaces={"roads": Workspace(name="roads")},
    routes={
        "drafting": Route(
            name="drafting", path="/d/", pool="drafting", workspaces=("roads",)
        )
    },
    pools={"drafting": Pool(name="drafting", kind="model-engine")},
)


class Daemons:
    """Two daemons; calls to those in ``down`` fail."""

    def __init__(self, engines):
        self.handlers, self.down = {}, set()
        self.engines = engines
        self.first, self.second = (
            self.make_service("vm1", "za"),
            self.make_service("vm2", "zb"),
        )

    def make_service(self, vm, zone):
        """Return the rollout service of a new daemon."""
        handlers = self.handlers[vm] = {}
        holder = SimpleNamespace(snapshot=Snapshot(1, "c", TABLES))
        dispatcher = SimpleNamespace(
            assign=None, directory=SimpleNamespace(views=self.engines.views)
        )
        service = RolloutService(
            Members(Member(vm, zone, "127.0.0.1:1", 1)),
            SimpleNamespace(call=self.call),
            dispatcher,
            UsageCounters(vm, 1, 60),
            holder,
        )
        service.register(SimpleNamespace(register=handlers.__setitem__))
        return service

    def call(self, vm, method, request, timeout):
        """Call the handler of a daemon directly."""
        eventlet.sleep(0)
        if vm in self.down:
            return NotDone(f"{vm} is down")
        return Done(self.handlers[vm][method](request))

    def connect(self):
        """Make each daemon a live member for the other."""
        for service, other in ((self.first, self.second), (self.second, self.first)):
            member = evolve(other.members.self_member, heard_at=boottime())
            service.members.record_heartbeat(member)


@pytest.fixture
def daemons(monkeypatch):
    def behave(name, request):
        eventlet.sleep(0.01)
        yield TokenChunk(("x",) * request.max_tokens, 1)

    engines = FakeEngines(behave)
    monkeypatch.setattr(
        "mulberryport.rollouts.service.EngineAccess", lambda *_: engines.access()
    )
    running = Daemons(engines)
    yield running
    for service in (running.first, running.second):
        for owned_step in service.owned_steps.all():
            service.owned_steps.close(owned_step.step.spec.id, "end of the test")
    eventlet.sleep(0.05)


def make_spec_owned_by(service):
    """Return a specification whose step the given daemon owns."""
    for number in range(100):
        spec = make_spec(6)
        spec = evolve(spec, id=evolve(spec.id, step=number))
        owner = service.members.owners(spec.id.key, 1)[0].vm
        if owner == service.members.self_member.vm:
            return spec
    raise LookupError("no such step")


def wait_for(condition):
    with eventlet.Timeout(5.0):
        while not condition():
            eventlet.sleep(0.01)


def test_a_new_owner_adopts_the_samples_of_the_former_owner(daemons):
    # Guards against samples that are generated again, or delivered by two owners, when
    # the new owner of an open step joins.
    daemons.connect()
    spec = make_spec_owned_by(daemons.second)
    alone = daemons.first
    alone.members._members.clear()
    assert alone.open(spec) == Done(OpenResult())
    wait_for(lambda: not alone.open_steps()[0].unfilled)
    first = alone.pull(spec.id, 1, b"", 0, 2).value.samples
    received = b"\x03"
    daemons.connect()
    result = alone.pull(spec.id, 1, received, 1.0, 10).value
    indexes = [sample.index for sample in (*first, *result.samples)]
    assert sorted(indexes) == list(range(6)) and result.remaining == 4
    alone.reconcile()
    assert not alone.open_steps()
    assert daemons.second.open_steps()[0].remaining == 4
    assert len(daemons.engines.requests) == 6


def test_steps_stay_open_until_a_configuration_was_read(daemons):
    # Guards against a daemon without a configuration that takes every route for
    # withdrawn and closes the steps that other daemons forwarded to it.
    daemons.connect()
    spec = make_spec_owned_by(daemons.second)
    owner = daemons.second
    owner.open(spec)
    owner.holder.snapshot = Snapshot()
    owner.reconcile()
    assert owner.open_steps()


def test_a_replica_serves_the_samples_of_a_failed_owner(daemons):
    # Guards against loss of finished samples when their owner fails.
    daemons.connect()
    spec = make_spec_owned_by(daemons.second)
    daemons.first.open(spec)
    (owned_step,) = daemons.second.owned_steps.all()
    wait_for(
        lambda: (
            not owned_step.step.unfilled and not owned_step.replicator.unconfirmed_count
        )
    )
    daemons.down.add("vm2")
    daemons.first.members.forget("vm2")
    result = daemons.first.pull(spec.id, 1, b"\x01", 0, 10).value
    assert sorted(s.index for s in result.samples) == [1, 2, 3, 4, 5]
    assert len(daemons.engines.requests) == 6


def test_a_closed_step_is_not_reopened(daemons):
    # Guards against a closed step that a late handover or pull reopens.
    daemons.connect()
    spec = make_spec_owned_by(daemons.second)
    daemons.first.open(spec)
    (owned_step,) = daemons.second.owned_steps.all()
    wait_for(
        lambda: (
            not owned_step.step.unfilled and not owned_step.replicator.unconfirmed_count
        )
    )
    daemons.first.close(spec.id)
    wait_for(lambda: daemons.first.replicas.get(spec.id) is None)
    # A handover by a former owner that was paused until now.
    daemons.first.replicas.merge(spec, owned_step.step.buffered_samples(), b"")
    assert not daemons.first.pull(spec.id, 1, b"", 0, 10).value.known
    assert not daemons.second.open_steps()


def test_conflicting_specifications_and_invalid_pulls_are_rejected(daemons):
    # Guards against a specification that changes while the step is open, and against
    # invalid pulls that modify the step.
    daemons.connect()
    spec = make_spec_owned_by(daemons.second)
    for service in (daemons.first, daemons.second):
        assert service.open(evolve(spec, weight_version=2)).value == OpenResult()
        other = evolve(spec, groups=(GroupSpec("other", 6, 8),))
        assert service.open(other).value == OpenResult(conflict=True)
        for version, received in ((2, b"\xff"), (2, b"\0\0"), (1, b"")):
            with pytest.raises(InvalidPullError):
                service.pull(spec.id, version, received, 0, 10)
    assert daemons.second.open_steps()[0].remaining == 6


def test_a_newer_pull_supersedes_one_that_waits(daemons):
    # Guards against the same samples in two responses: the trainer of the earlier pull
    # has disconnected or has pulled again.
    daemons.connect()
    spec = make_spec_owned_by(daemons.second)
    daemons.engines.limit = 0
    daemons.first.open(spec)
    for service in (daemons.first, daemons.second):
        waiting = eventlet.spawn(service.pull, spec.id, 1, b"", 20.0, 10)
        eventlet.sleep(0.05)
        assert not service.pull(spec.id, 1, b"", 0, 10).value.superseded
        with eventlet.Timeout(1.0):
            assert waiting.wait().value.superseded


def test_steps_of_withdrawn_routes_and_silent_trainers_are_closed(daemons):
    # Guards against engine time spent on withdrawn routes, and for trainers that no
    # longer pull.
    daemons.connect()
    spec = make_spec_owned_by(daemons.second)
    owner = daemons.second
    owner.open(spec)
    owner.open_steps()[0].last_activity_at -= ABANDONED_AFTER_S + 1
    owner.reconcile()
    assert not owner.open_steps()
    owner.open(spec)
    owner.reconcile()
    assert owner.open_steps()
    owner.holder.snapshot = Snapshot(2, "d", evolve(TABLES, routes={}))
    owner.reconcile()
    assert not owner.open_steps()
