"""Tests of texts that are continued while engines run different software versions."""

import eventlet

from ...outcomes import Done
from ...targets.vm_list import ListedVm
from ..codec import decode_transcripts, encode_transcripts
from ..generation import StreamInterruptedError, Transcript
from .builders import Engine, JobDaemon, MemoryStore, make_job, until
from .test_service import deadline_in, read_all


def list_engines(daemon, **software):
    """List engines with their software versions, and a desk."""
    engines = [
        ListedVm(
            name, "127.0.0.1:1", "a", "engines", False, False, 8, {"m": 5}, 1, version
        )
        for name, version in software.items()
    ]
    desk = ListedVm("d1", "127.0.0.1:1", "a", "desk", False, False, 8)
    daemon.directory.apply_vm_list([*engines, desk])


# More failures in a row would take an engine out of service.
ITEMS = 6


class BreakingEngine(Engine):
    """Engines whose events name their software; each first stream of a text breaks.

    ``software`` maps an engine to its version at the moment of a call.
    """

    software = {}
    on_break = staticmethod(lambda engine: None)

    def generate(self, view, job, item, transcript, on_event):
        """Generate two events and break off, or generate the rest of a text."""
        is_first = not any(call[0] == item.id for call in self.calls)
        self.calls.append((item.id, len(transcript.events), view.id))
        software = self.software[view.id]
        while len(transcript.events) < 4:
            if is_first and len(transcript.events) == 2:
                self.on_break(view.id)
                raise StreamInterruptedError("the connection was reset")
            eventlet.sleep(0)
            transcript.add(f"{software}.{len(transcript.events) + 1}", 5)
            on_event()


class LeavingEngine(Engine):
    """Engines that say that they are leaving while they run a request."""

    on_call = staticmethod(lambda view: None)

    def generate(self, view, job, item, transcript, on_event):
        """Generate the rest of a text."""
        eventlet.spawn_after(self.pause, self.on_call, view)
        super().generate(view, job, item, transcript, on_event)


def run_job(engine, prepare):
    """Return the results of a job at engines that ``prepare`` lists."""
    daemon = JobDaemon(MemoryStore(), engine=engine)
    prepare(daemon)
    job = make_job(items=ITEMS, scored=False)
    assert daemon.jobs.submit(job, deadline_in()) == Done(True)
    assert until(lambda: len(read_all(daemon)) == ITEMS, 10.0)
    results = read_all(daemon)
    daemon.die()
    return results


def versions_of(result):
    """Return the software versions whose events a text holds."""
    return {event.partition(".")[0] for event in result[2].split("\n")}


def test_texts_hold_events_of_one_software_version():
    # Guards against texts that are joined from two versions after a stream broke: what
    # the versions write does not fit together.
    engine = BreakingEngine()
    engine.software = {f"e{n}": "old" if n % 3 == 0 else "new" for n in range(12)}
    daemons = []

    def leave(name):
        listed = {e: v for e, v in engine.software.items() if e != name}
        list_engines(daemons[0], **listed)

    def prepare(daemon):
        daemons.append(daemon)
        list_engines(daemon, **engine.software)

    engine.on_break = leave
    results = run_job(engine, prepare)
    assert all(len(versions_of(result)) == 1 for result in results)
    continued = [call for call in engine.calls if call[1] == 2]
    assert len(continued) == ITEMS


def test_a_text_starts_over_when_its_version_has_left():
    # Guards against a text that waits for a version that does not come back, and
    # against one that goes on at another version.
    engine = BreakingEngine()
    engine.software = {"e1": "old"}
    daemons = []

    def leave(_):
        engine.software = {"e2": "new"}
        list_engines(daemons[0], e2="new")

    def prepare(daemon):
        daemons.append(daemon)
        list_engines(daemon, e1="old")

    engine.on_break = leave
    results = run_job(engine, prepare)
    assert all(len(versions_of(result)) == 1 for result in results)


def test_a_text_stays_at_a_leaving_engine_that_is_the_last_of_its_version():
    # Guards against texts that move away from a leaving engine, which still serves what
    # it runs, only to start over at another version.
    daemons = []

    def prepare(daemon):
        daemons.append(daemon)
        list_engines(daemon, e1="old", e2="new")

    def leave(view):
        daemons[0].directory.mark_leaving(view.id, view.born)

    engine = LeavingEngine(length=4, pause=0.02)
    engine.on_call = leave
    run_job(engine, prepare)
    assert len(engine.calls) == ITEMS


def test_a_text_is_discarded_if_its_engine_was_replaced_under_its_id():
    # Guards against a text that goes on at an engine that started again with the same
    # id and other software, when the list says so only afterwards.
    engine = BreakingEngine()
    engine.software = {"e1": "old"}
    daemons = []

    def replace(_):
        engine.software = {"e1": "new"}
        eventlet.spawn_after(0.05, list_engines, daemons[0], e1="new")

    def prepare(daemon):
        daemons.append(daemon)
        list_engines(daemon, e1="old")

    engine.on_break = replace
    engine.pause = 0.05
    results = run_job(engine, prepare)
    assert all(len(versions_of(result)) == 1 for result in results)


def test_stored_texts_keep_their_software_version():
    # Guards against a new owner that goes on with a text at any version.
    transcript = Transcript(["a"], [5], 1, "old")
    stored = decode_transcripts(encode_transcripts({"i": transcript}))["i"]
    assert (stored.events, stored.software) == (["a"], "old")


def test_texts_that_were_stored_without_a_version_start_over():
    # Guards against guessing the version of a text that an older build stored.
    stored = decode_transcripts(b'{"i": [["a"], [5], 1]}')["i"]
    assert (stored.events, stored.failures) == ([], 1)
