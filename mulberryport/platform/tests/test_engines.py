"""Tests of engines and scoring services on the platform's wire."""

import socket

import eventlet
import pytest

from ...jobs import (
    EngineSwitchError,
    ItemFailedError,
    ItemRejectedError,
    NotStartedError,
    ScoringCall,
    StaleWeightsError,
    StreamInterruptedError,
    Transcript,
)
from ...jobs.tests.builders import make_job
from ...routing import TargetView
from ...runtime.wsgi import listen
from ...targets import TargetDirectory
from ..engines import EngineCalls

HEAD = (
    "HTTP/1.1 {status} X\r\nX-Request-Id: job1-0\r\nX-Server-Stamp: s\r\n"
    "X-Weight-Versions: {version}\r\n{more}"
)


class Script:
    """An engine that sends what a test says, and notes what becomes of it."""

    def __init__(self, *parts, status=200, version=5, more="", chunked=True):
        self.parts, self.heads, self.left = parts, [], []
        coding = "Transfer-Encoding: chunked\r\n" if chunked else ""
        head = HEAD.format(status=status, version=version, more=more + coding)
        self.head = (head + "\r\n").encode()
        self.chunked = chunked
        self.listener = listen("127.0.0.1:0")
        self.thread = eventlet.spawn(self._accept)
        host, port = self.listener.getsockname()
        self.view = TargetView(
            id="e1", address=f"{host}:{port}", zone="a", pool="p", kind="k"
        )

    def _accept(self):
        while True:
            connection = self.listener.accept()[0]
            eventlet.spawn_n(self._serve, connection)

    def _serve(self, connection):
        head = b""
        # The head is followed by a body of two bytes, or of one for a scoring call.
        while not head.partition(b"\r\n\r\n")[2].endswith((b"\x00\xff", b"x")):
            head += connection.recv(65536)
        self.heads.append(head)
        connection.sendall(self.head)
        for part in self.parts:
            if part is None:
                connection.shutdown(socket.SHUT_RDWR)
                return
            chunk = b"%x\r\n%s\r\n" % (len(part), part) if self.chunked else part
            connection.sendall(chunk)
        # The end of the connection is noted as an engine would notice it.
        try:
            self.left.append(connection.recv(1))
        except OSError:
            self.left.append(b"")

    def generate(self, transcript=None, on_event=lambda: None, **job):
        """Generate the first item of a job here."""
        transcript = transcript if transcript is not None else Transcript()
        made = make_job(**job)
        engines = EngineCalls(TargetDirectory())
        engines.generate(self.view, made, made.items[0], transcript, on_event)
        return transcript


EVENT = b"id: %d\ndata: %s\n\n"
END = b""


def test_a_text_is_read_with_its_versions():
    script = Script(
        EVENT % (1, b"a"), b"x-weight-versions: 6\n" + EVENT % (2, b"b"), END
    )
    transcript = script.generate()
    assert (transcript.events, transcript.versions) == (["a", "b"], [5, 6])
    assert b"X-Expect-Instance: e1" in script.heads[0]
    assert b"X-Tenant: roads" in script.heads[0]
    assert b"Last-Event-Id" not in script.heads[0]


def test_a_text_goes_on_after_its_last_event():
    script = Script(EVENT % (3, b"c"), END)
    transcript = script.generate(Transcript(["a", "b"], [5, 5]))
    assert transcript.events == ["a", "b", "c"]
    assert b"Last-Event-Id: 2" in script.heads[0]


def test_a_text_that_was_left_at_its_end_is_complete():
    # Guards against a text that is asked for again for ever.
    script = Script(END, version="")
    assert script.generate(Transcript(["a"], [4])).events == ["a"]


def test_an_answer_without_a_version_says_nothing_of_the_engine():
    # Guards against an engine that is taken to have the weights of the one before,
    # which is then asked again and again although its weights are too old.
    directory, made = TargetDirectory(), make_job()
    EngineCalls(directory).generate(
        Script(END, version="").view,
        made,
        made.items[0],
        Transcript(["a"], [7]),
        lambda: None,
    )
    state = directory.get_state("e1")
    assert state is None or not state.versions


def test_an_event_without_a_version_is_not_used():
    # Guards against events that are labelled with the version of another engine.
    transcript = Transcript(["a"], [7])
    with pytest.raises(StreamInterruptedError):
        Script(EVENT % (2, b"b"), END, version="").generate(transcript)
    assert transcript.events == ["a"]


@pytest.mark.parametrize(
    "parts",
    [
        (EVENT % (1, b"a"), b"id: 2\nda", None),
        (EVENT % (1, b"a"), EVENT % (3, b"c"), END),
        (EVENT % (1, b"a"), EVENT % (1, b"a"), END),
        (EVENT % (1, b"a"), b"id: x\ndata: y\n\n", END),
    ],
)
def test_streams_that_break_or_skip_keep_what_was_whole(parts):
    # Guards against events that are missing or stand twice.
    transcript = Transcript()
    with pytest.raises(StreamInterruptedError):
        Script(*parts).generate(transcript)
    assert transcript.events == ["a"]


def test_a_stream_without_a_stated_end_is_not_complete():
    script = Script(EVENT % (1, b"a"), None, chunked=False)
    with pytest.raises(StreamInterruptedError):
        script.generate()


@pytest.mark.parametrize(
    ("status", "more", "error"),
    [
        (503, "X-Not-Run: 1\r\n", NotStartedError),
        (421, "", NotStartedError),
        (422, "", ItemRejectedError),
        (500, "", ItemFailedError),
        (404, "", StreamInterruptedError),
    ],
)
def test_statuses_say_what_became_of_the_item(status, more, error):
    with pytest.raises(error):
        Script(END, status=status, more=more).generate()


def test_weights_that_are_too_old_generate_nothing():
    # Guards against samples older than the job allows.
    with pytest.raises(StaleWeightsError):
        Script(EVENT % (1, b"a"), END, version=3).generate(oldest_version=4)


def test_the_answer_of_another_request_is_not_used():
    script = Script(EVENT % (1, b"a"), END)
    with pytest.raises(StreamInterruptedError):
        script.generate(job_id="job2")


def test_an_engine_that_is_left_sees_the_end_of_the_connection_at_once():
    # Guards against an engine that works on beside the one where the text goes on,
    # also if it announced that it closes the connection after the answer.
    for more in ("", "Connection: close\r\n"):
        script = Script(EVENT % (1, b"a"), EVENT % (2, b"b"), more=more)
        kept = []

        def leave(kept=kept):
            try:
                raise EngineSwitchError("slow")
            except EngineSwitchError as error:
                # A reference, as a log or a debugger may hold it.
                kept.append(error)
                raise

        with pytest.raises(EngineSwitchError):
            script.generate(on_event=leave)
        eventlet.sleep(0.1)
        assert script.left == [b""]


def test_a_score_is_the_signature_of_a_success():
    script = Script(b"body", END)
    engines = EngineCalls(TargetDirectory())
    call = ScoringCall("job1-0", "h.example", "/score/", b"x")
    assert engines.score(script.view, call, 1.0) == "s"
    failed = Script(b"body", END, status=500)
    with pytest.raises(ItemFailedError):
        engines.score(failed.view, call, 1.0)
    cut = Script(b"body", None)
    with pytest.raises(StreamInterruptedError):
        engines.score(cut.view, call, 1.0)
