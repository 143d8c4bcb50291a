"""Tests of the calls to engines and scoring services."""

import socket

import eventlet
import pytest
from attrs import evolve

from ...jobs import (
    DeadlinePassedError,
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


class ScriptedEngine:
    """Engine that sends the given parts and records how its connections end."""

    def __init__(self, *parts, status=200, version=5, more="", chunked=True):
        self.parts, self.request_heads, self.final_reads = parts, [], []
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
        self.request_heads.append(head)
        connection.sendall(self.head)
        for part in self.parts:
            if part is None:
                connection.shutdown(socket.SHUT_RDWR)
                return
            chunk = b"%x\r\n%s\r\n" % (len(part), part) if self.chunked else part
            connection.sendall(chunk)
        # Records the end of the connection as an engine would detect it.
        try:
            self.final_reads.append(connection.recv(1))
        except OSError:
            self.final_reads.append(b"")

    def generate(self, transcript=None, on_event=lambda: None, item=None, **job):
        """Generate the first item of a job on this engine, changed."""
        transcript = transcript if transcript is not None else Transcript()
        made = make_job(**job)
        engines = EngineCalls(TargetDirectory())
        first = evolve(made.items[0], **item or {})
        engines.generate(self.view, made, first, transcript, on_event)
        return transcript


EVENT = b"id: %d\ndata: %s\n\n"
END = b""


def test_a_text_is_read_with_its_versions():
    engine = ScriptedEngine(
        EVENT % (1, b"a"), b"x-weight-versions: 6\n" + EVENT % (2, b"b"), END
    )
    transcript = engine.generate()
    assert (transcript.events, transcript.versions) == (["a", "b"], [5, 6])
    assert b"X-Expect-Instance: e1" in engine.request_heads[0]
    assert b"X-Tenant: roads" in engine.request_heads[0]
    assert b"Last-Event-Id" not in engine.request_heads[0]


@pytest.mark.parametrize(
    ("item", "values"),
    [
        ({}, []),
        ({"urgency": 3}, ["3"]),
        ({"urgency": 3, "headers": (("x-urgency", "7"),)}, ["7"]),
    ],
)
def test_an_engine_is_told_one_urgency(item, values):
    # Guards against a header that is sent twice, and against changed headers of items.
    engine = ScriptedEngine(EVENT % (1, b"a"), END)
    engine.generate(item=item)
    lines = engine.request_heads[0].decode("latin-1").split("\r\n")
    headers = [line.split(": ", 1) for line in lines if ": " in line]
    assert [v for name, v in headers if name.lower() == "x-urgency"] == values


@pytest.mark.parametrize(
    ("name", "value"),
    [
        ("Content-Length", "0"),
        ("content-length", "0"),
        ("Transfer-Encoding", "chunked"),
        ("X-Tenant", "boats"),
        ("x_tenant", "boats"),
        ("X-Api-Key", "k"),
        ("Host", "other.example"),
        ("X-Request-Id", "hidden"),
        ("X-Expect-Instance", "e2"),
        ("X-Expect-Version", "1"),
        ("X-Deadline-Ms", "1"),
        ("Last-Event-Id", "7"),
        ("Kv-From", "10.0.0.1:80/1"),
        ("X-Folded", "1\r\n X-Tenant: boats"),
    ],
)
def test_a_header_of_a_stored_item_neither_frames_nor_labels_its_request(name, value):
    # Guards against a second request in the body of an item, and against a workspace
    # that the submitter of the item chose; earlier builds stored such items.
    engine = ScriptedEngine(EVENT % (1, b"a"), END)
    hidden = b"POST /drafts/hidden HTTP/1.1\r\n\r\n\x00\xff"
    engine.generate(item={"headers": ((name, value),), "body": hidden})
    head, _, _ = engine.request_heads[0].partition(b"\r\n\r\n")
    _, *lines = head.decode("latin-1").split("\r\n")
    assert sorted(line.lower() for line in lines) == [
        f"content-length: {len(hidden)}",
        "host: h.example",
        "x-expect-instance: e1",
        "x-request-id: job1-0",
        "x-tenant: roads",
    ]


def test_generation_resumes_after_the_last_event():
    engine = ScriptedEngine(EVENT % (3, b"c"), END)
    transcript = engine.generate(Transcript(["a", "b"], [5, 5]))
    assert transcript.events == ["a", "b", "c"]
    assert b"Last-Event-Id: 2" in engine.request_heads[0]


def test_empty_stream_completes_a_text_interrupted_after_its_last_event():
    # Guards against requesting a complete text again forever.
    engine = ScriptedEngine(END, version="")
    assert engine.generate(Transcript(["a"], [4])).events == ["a"]


def test_response_without_version_does_not_update_the_engine_version():
    # Guards against attributing the weight version of the previous engine to this one,
    # which would then be selected repeatedly although its weights are too old.
    directory, made = TargetDirectory(), make_job()
    EngineCalls(directory).generate(
        ScriptedEngine(END, version="").view,
        made,
        made.items[0],
        Transcript(["a"], [7]),
        lambda: None,
    )
    state = directory.get_state("e1")
    assert state is None or not state.versions


def test_event_without_version_is_rejected():
    # Guards against labeling events with the weight version of another engine.
    transcript = Transcript(["a"], [7])
    with pytest.raises(StreamInterruptedError):
        ScriptedEngine(EVENT % (2, b"b"), END, version="").generate(transcript)
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
def test_truncated_or_out_of_order_stream_keeps_complete_events(parts):
    # Guards against missing or duplicate events.
    transcript = Transcript()
    with pytest.raises(StreamInterruptedError):
        ScriptedEngine(*parts).generate(transcript)
    assert transcript.events == ["a"]


def test_unframed_stream_is_not_complete():
    engine = ScriptedEngine(EVENT % (1, b"a"), None, chunked=False)
    with pytest.raises(StreamInterruptedError):
        engine.generate()


@pytest.mark.parametrize(
    ("status", "more", "error"),
    [
        (503, "X-Not-Run: 1\r\n", NotStartedError),
        (421, "", NotStartedError),
        (422, "", ItemRejectedError),
        (500, "", ItemFailedError),
        (502, "", StreamInterruptedError),
        (503, "", StreamInterruptedError),
        (504, "", StreamInterruptedError),
        (404, "", StreamInterruptedError),
    ],
)
def test_statuses_say_what_became_of_the_item(status, more, error):
    with pytest.raises(error):
        ScriptedEngine(END, status=status, more=more).generate()


def test_weights_that_are_too_old_generate_nothing():
    # Guards against samples from older weights than the job allows.
    with pytest.raises(StaleWeightsError):
        ScriptedEngine(EVENT % (1, b"a"), END, version=3).generate(oldest_version=4)


def test_response_to_another_request_is_rejected():
    engine = ScriptedEngine(EVENT % (1, b"a"), END)
    with pytest.raises(StreamInterruptedError):
        engine.generate(job_id="job2")


def test_switching_engines_closes_the_connection_immediately():
    # Guards against an engine that continues to generate a text that has moved to
    # another engine, also if its response has ``Connection: close``.
    for more in ("", "Connection: close\r\n"):
        engine = ScriptedEngine(EVENT % (1, b"a"), EVENT % (2, b"b"), more=more)
        kept = []

        def leave(kept=kept):
            try:
                raise EngineSwitchError("slow")
            except EngineSwitchError as error:
                # Keeps a reference to the exception, as a log or a debugger may do.
                kept.append(error)
                raise

        with pytest.raises(EngineSwitchError):
            engine.generate(on_event=leave)
        eventlet.sleep(0.1)
        assert engine.final_reads == [b""]


def test_score_is_the_signature_of_a_successful_response():
    engine = ScriptedEngine(b"body", END)
    engines = EngineCalls(TargetDirectory())
    call = ScoringCall("job1-0", "h.example", "/score/", b"x")
    assert engines.score(engine.view, call, 1.0) == "s"
    failed = ScriptedEngine(b"body", END, status=500)
    with pytest.raises(ItemFailedError):
        engines.score(failed.view, call, 1.0)
    # Guards against an item that is given up because the time of a call ran out.
    late = ScriptedEngine(b"body", END, status=504)
    with pytest.raises(DeadlinePassedError):
        engines.score(late.view, call, 1.0)
    cut = ScriptedEngine(b"body", None)
    with pytest.raises(StreamInterruptedError):
        engines.score(cut.view, call, 1.0)


ERROR_TEXT = b"id: 3\ndata: internal error\n\n"


@pytest.mark.parametrize("status", [302, 400, 404, 429, 500, 502, 503])
def test_the_text_of_an_error_does_not_enter_a_text_that_is_continued(status):
    # Guards against the error of the next engine, or its head, in the middle of a text.
    engine = ScriptedEngine(ERROR_TEXT, END, status=status)
    transcript = Transcript(["a", "b"], [5, 5])
    with pytest.raises((StreamInterruptedError, ItemFailedError, NotStartedError)):
        engine.generate(transcript)
    assert transcript.events == ["a", "b"]


@pytest.mark.parametrize(
    "body",
    [
        b"internal error",
        b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n",
        b"id: 3\ndata: c\n\ninternal error\n\n",
        b"id: 3\ndata: c\n\nid: 4\nda",
    ],
)
def test_a_text_does_not_end_as_complete_after_bytes_that_are_no_events(body):
    # Guards against a text that counts as complete although the stream of its engine
    # went over into the text of an error, or stopped within an event.
    engine = ScriptedEngine(body, END)
    transcript = Transcript(["a", "b"], [5, 5])
    with pytest.raises(StreamInterruptedError):
        engine.generate(transcript)
    assert transcript.events in (["a", "b"], ["a", "b", "c"])


def test_a_stream_without_events_is_no_text():
    # Guards against a sample without a text, from a response that lost its body.
    engine = ScriptedEngine(END)
    with pytest.raises(StreamInterruptedError):
        engine.generate()


def test_a_stream_without_a_signature_is_broken():
    # Guards against a success that no engine has signed.
    engine = ScriptedEngine(EVENT % (1, b"a"), END)
    engine.head = engine.head.replace(b"X-Server-Stamp: s\r\n", b"")
    with pytest.raises(StreamInterruptedError):
        engine.generate()
