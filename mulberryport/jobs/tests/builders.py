"""Test fixtures: jobs, fake engines and daemons."""

from collections.abc import Callable

import eventlet
from attrs import define, evolve, field

from ...coordination import Mirror, Session, Transaction
from ...coordination.tests.builders import MemoryStore, until
from ...membership import Member, Members
from ...outcomes import NotDone, Unknown
from ...runtime.clock import boottime
from ...tables import (
    MODEL_ENGINE,
    PLAIN_SERVICE,
    BatchTerms,
    Pool,
    Route,
    Snapshot,
    SnapshotHolder,
    Tables,
    TargetSpec,
    Workspace,
)
from ...targets import Dispatcher, LoadReport, TargetDirectory, WorkRequest
from ...targets.vm_list import ListedVm
from ..generation import EngineClient
from ..model import Job, JobItem, ScoringCall
from ..repository import CHUNK_BYTES, LIVE_PREFIX
from ..service import JobService

__all__ = [
    "Engine",
    "HookedStore",
    "JobDaemon",
    "LateStore",
    "MemoryStore",
    "make_job",
    "make_large_job",
    "puts_results",
    "until",
]


def make_job(job_id="job1", items=4, scored=True, **values):
    """Return a job whose items belong to two groups."""
    values.setdefault("submitted_at", 1000.0)
    return Job(
        id=job_id,
        workspace=values.pop("workspace", "roads"),
        host="h.example",
        route="drafts",
        items=tuple(
            JobItem(
                id=f"{job_id}-{n}",
                path="/drafts/1",
                headers=(),
                body=b"\x00\xff",
                group=f"g{n % 2}",
                model="m",
                scoring=ScoringCall(f"s{n}", "h.example", "/score/", b"x")
                if scored
                else None,
            )
            for n in range(items)
        ),
        **values,
    )


def make_large_job(size_bytes, job_id="job1"):
    """Return a job of one item whose record has about this many bytes, not fewer."""
    job = make_job(job_id, items=1)
    body = bytes(size_bytes * 3 // 4 + 3)
    return evolve(job, items=(evolve(job.items[0], body=body),))


@define(eq=False)
class Engine:
    """Fake engine that generates events, after raising any injected faults.

    Parameters
    ----------
    length : int
        Number of events of each text.
    pause : float
        Seconds before each event.
    pauses : dict
        Seconds before each event of some items, by item id.
    faults, score_faults : list of Exception
        Exceptions raised by the next calls.
    long_texts : dict
        Number of texts of some items that no value of the store can hold, by item id.
    """

    length: int = 3
    version: int = 5
    pause: float = 0.0
    pauses: dict = field(factory=dict)
    faults: list = field(factory=list)
    score_faults: list = field(factory=list)
    long_texts: dict = field(factory=dict)
    calls: list = field(factory=list)
    scored: list = field(factory=list)

    def engine_client(self):
        """Return a client that calls this engine."""
        return EngineClient(generate=self.generate, score=self.score)

    def generate(self, view, job, item, transcript, on_event):
        """Generate the remaining events of a text."""
        self.calls.append((item.id, len(transcript.events), view.id))
        if self.faults:
            raise self.faults.pop(0)
        if self.long_texts.get(item.id, 0):
            self.long_texts[item.id] -= 1
            transcript.add("\x01" * CHUNK_BYTES, self.version)
        while len(transcript.events) < self.length:
            eventlet.sleep(self.pauses.get(item.id, self.pause))
            transcript.add(f"{item.id}.{len(transcript.events) + 1}", self.version)
            on_event()

    def score(self, view, call, seconds):
        """Return a score for a call."""
        self.scored.append(call.id)
        if self.score_faults:
            raise self.score_faults.pop(0)
        return f"score of {call.id}"


@define(eq=False)
class HookedStore:
    """Connection to a store that calls a function after each read.

    Parameters
    ----------
    store : MemoryStore
        The store.
    hook : callable
        Called with the key or prefix that was read.
    """

    store: MemoryStore
    hook: Callable[[str], object] = lambda key: None

    def __getattr__(self, name):
        return getattr(self.store, name)

    def read(self, key):
        """Read a key and call the hook."""
        outcome = self.store.read(key)
        self.hook(key)
        return outcome

    def list(self, prefix):
        """List a prefix and call the hook."""
        outcome = self.store.list(prefix)
        self.hook(prefix)
        return outcome


@define(eq=False)
class LateStore:
    """Connection to a store on which chosen commits take effect late.

    Parameters
    ----------
    store : MemoryStore
        The store.
    is_late : callable
        Returns whether a transaction gets no answer and is held back.
    late : list of Transaction
        Transactions that are held back.
    hook : callable
        Called with the key or prefix after each read, before its answer is returned.
    """

    store: MemoryStore
    is_late: Callable[[Transaction], bool] = lambda transaction: False
    late: list = field(factory=list)
    hook: Callable[[str], object] = lambda key: None

    def __getattr__(self, name):
        return getattr(self.store, name)

    def list(self, prefix):
        """List a prefix and call the hook."""
        outcome = self.store.list(prefix)
        self.hook(prefix)
        return outcome

    def commit(self, transaction):
        """Apply a transaction, or hold it back without an answer."""
        if self.is_late(transaction):
            self.late.append(transaction)
            return Unknown("no answer")
        return self.store.commit(transaction)

    def execute_late(self):
        """Execute the transactions that were held back; return their outcomes."""
        self.is_late = lambda transaction: False
        late, self.late = self.late, []
        return [self.store.commit(transaction) for transaction in late]


def puts_results(transaction):
    """Return whether a transaction writes results."""
    return any("/results/" in put.key for put in transaction.puts)


class NoPeers:
    """Peers that are all unreachable."""

    def call(self, vm, method, request, timeout):
        """Return ``NotDone``."""
        return NotDone("no peers")


def make_tables():
    """Return tables with one route for jobs and one for scoring calls."""
    terms = BatchTerms(due=5.0, give_up=60.0)
    return Tables(
        workspaces={"roads": Workspace(name="roads")},
        routes={
            "drafts": Route(
                name="drafts", path="/drafts/", pool="engines", batch=terms, attempts=3
            ),
            "score": Route(name="score", path="/score/", pool="desk", attempts=2),
        },
        pools={
            "engines": Pool(name="engines", kind=MODEL_ENGINE, queue=100),
            "desk": Pool(name="desk", kind=PLAIN_SERVICE),
        },
    )


class JobDaemon:
    """The components of a daemon that the job service depends on."""

    def __init__(
        self,
        store,
        vm="vm1",
        engine=None,
        incarnation=1,
        peers=None,
        persist=None,
        configured=True,
        mirrored=None,
        has_store_relays=lambda: False,
    ):
        self.store, self.engine = store, engine or Engine()
        self.now = 1000.0
        self.snapshot_holder = SnapshotHolder()
        self.directory = TargetDirectory()
        self.dispatcher = Dispatcher(self.directory, "a")
        self.snapshot_holder.subscribe(self.directory.apply_snapshot)
        self.snapshot_holder.subscribe(self.dispatcher.apply_snapshot)
        if configured:
            self.adopt_tables(1)
        self.directory.apply_vm_list(
            [
                ListedVm(name, "127.0.0.1:1", "a", pool, False, False, 8, {"m": 5})
                for name, pool in (("e1", "engines"), ("e2", "engines"), ("d1", "desk"))
            ]
        )
        self.session = Session(store)
        self.mirror = Mirror(mirrored or store, LIVE_PREFIX)
        self.jobs = JobService(
            store,
            self.mirror,
            self.session,
            Members(Member(vm, "a", "127.0.0.1:2", incarnation)),
            peers or NoPeers(),
            self.dispatcher,
            lambda: self.snapshot_holder.snapshot,
            self.engine.engine_client(),
            lambda: self.now,
            persist=persist,
            has_store_relays=has_store_relays,
            recovery_grace_s=0.1,
        )
        self.session.start()
        self.mirror.start()
        assert until(lambda: self.mirror.loaded)
        assert until(lambda: self.mirror.connected_for_s > 0.1)
        self._running = True
        eventlet.spawn_n(self._run)

    def _run(self):
        while self._running:
            self.dispatcher.dispatch_waiting()
            self.jobs.run_once()
            eventlet.sleep(0.02)

    def adopt_tables(self, revision, **changes):
        """Adopt the usual tables, changed, under a revision."""
        tables = evolve(make_tables(), **changes)
        self.snapshot_holder.adopt(Snapshot(revision, f"r{revision}", tables), {})

    def change_tables(self, **changes):
        """Apply changes to the tables in force."""
        snapshot = self.snapshot_holder.snapshot
        tables = evolve(snapshot.tables, **changes)
        number = snapshot.revision + 1
        self.snapshot_holder.adopt(Snapshot(number, f"change {number}", tables), {})

    def die(self):
        """Stop like a killed process, without releasing jobs; the session expires."""
        self._running = False
        self.session._stopped = True
        self.mirror.stop()
        for owned in list(self.jobs.registry.owned.values()):
            owned.close("the daemon died")
        self.store.expire(self.session.lease)


def uneven_dispatcher(targets=8):
    """Return a dispatcher for pool p, whose targets tell how long work takes there."""
    directory = TargetDirectory()
    dispatcher = Dispatcher(directory, "a")
    specs = tuple(
        TargetSpec(f"t{n}", f"127.0.0.1:{n + 1}", "a") for n in range(targets)
    )
    pool = Pool(name="p", kind=MODEL_ENGINE, targets=specs, tokens_per_event=75)
    snapshot = Snapshot(1, "c", Tables(pools={"p": pool}))
    directory.apply_snapshot(snapshot)
    dispatcher.apply_snapshot(snapshot)
    for spec in specs:
        report = LoadReport(1, 0, 8, slowdown=1.0)
        directory.record_load(spec.id, report, boottime())
    with dispatcher.assign(WorkRequest(pool="p", workspace="w")):
        assert dispatcher.is_uneven("p")
    return dispatcher
