"""Tests of targets that send a second copy of an answer, late, on a reused connection.

Guards against a caller that gets the answer to another request: the copy arrives after
the connection was checked for unread bytes and before the next answer.
"""

import eventlet
import pytest

from ...jobs import ScoringCall, StreamInterruptedError, Transcript
from ...jobs.tests.builders import make_job
from ...routing import TargetView
from ...runtime.wsgi import listen
from ...targets import TargetDirectory
from ..engines import EngineCalls

EVENT = b"id: 1\ndata: text of %s\n\n"
ANSWER = (
    b"HTTP/1.1 %d X\r\nX-Request-Id: %s\r\nX-Server-Stamp: stamp of %s\r\n"
    b"X-Weight-Versions: 5\r\nContent-Length: %d\r\n\r\n%s"
)


def answer(request_id, status=200):
    """Return the answer to a request."""
    body = EVENT % request_id
    return ANSWER % (status, request_id, request_id, len(body), body)


class RepeatingTarget:
    """Target that answers a second request on a connection with the first's answer."""

    def __init__(self, status=200):
        self.status, self.connections, self.requests = status, 0, 0
        self.listener = listen("127.0.0.1:0")
        host, port = self.listener.getsockname()
        self.view = TargetView(
            id="e1", address=f"{host}:{port}", zone="a", pool="p", kind="k"
        )
        eventlet.spawn_n(self._accept)

    def _accept(self):
        while True:
            connection = self.listener.accept()[0]
            self.connections += 1
            eventlet.spawn_n(self._serve, connection)

    def _serve(self, connection):
        earlier = b""
        while True:
            head = b""
            while not head.partition(b"\r\n\r\n")[2].endswith((b"\x00\xff", b"x")):
                part = connection.recv(65536)
                if not part:
                    return
                head += part
            self.requests += 1
            request_id = head.partition(b"X-Request-Id: ")[2].partition(b"\r\n")[0]
            status = 200 if not earlier else self.status
            copy = earlier.replace(b" 200 X", b" %d X" % status)
            connection.sendall(copy + answer(request_id))
            earlier = answer(request_id)


@pytest.mark.parametrize("status", [200, 421, 503])
def test_copy_of_another_text_is_not_taken(status):
    target, directory, job = RepeatingTarget(status), TargetDirectory(), make_job()
    calls = EngineCalls(directory)

    def generate(number):
        transcript = Transcript()
        item = job.items[number]
        calls.generate(target.view, job, item, transcript, lambda: None)
        return transcript.events

    assert generate(0) == ["text of job1-0"]
    with pytest.raises(StreamInterruptedError):
        generate(1)
    assert (target.connections, target.requests) == (1, 2)
    # The connection is not used again, and the address still belongs to the target.
    assert generate(1) == ["text of job1-1"]
    assert target.connections == 2


def test_copy_of_another_score_is_not_taken():
    target = RepeatingTarget()
    calls = EngineCalls(TargetDirectory())

    def score(name):
        return calls.score(target.view, ScoringCall(name, "h", "/p", b"x"), 1.0)

    assert score("s1") == "stamp of s1"
    with pytest.raises(StreamInterruptedError):
        score("s2")
    assert score("s2") == "stamp of s2"
    assert target.connections == 2
