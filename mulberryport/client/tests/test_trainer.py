"""The client against a scripted entry VM."""

import base64
import time
from contextlib import contextmanager

import eventlet
import pytest

from ...runtime.wsgi import listen, read_json, respond, serve
from .. import Group, StepFailedError, TrainerClient

GROUPS = [Group("a", 2, 4), Group("b", 3, 4)]
SLOTS = [(0, 0), (0, 1), (1, 0), (1, 1), (1, 2)]


def sample(group, index, versions=((5, 4),)):
    return {
        "group": group,
        "index": index,
        "tokens": ["t"] * 4,
        "versions": versions,
        "target": "e1",
        "score": None,
    }


@contextmanager
def entry_vm(pull, opened=lambda body: (200, {})):
    """Serve a script and return a client at weight version 5."""
    calls = []

    def application(environ, start_response):
        body = read_json(environ)
        calls.append((environ["REQUEST_METHOD"], body))
        if environ["PATH_INFO"].endswith("/pull"):
            status, answer = pull(body)
        elif environ["REQUEST_METHOD"] == "PUT":
            status, answer = opened(body)
        else:
            status, answer = 200, {}
        return respond(start_response, status, answer)

    listener = listen("127.0.0.1:0")
    server = serve(listener, application)
    url = f"http://127.0.0.1:{listener.getsockname()[1]}"
    try:
        yield TrainerClient([url], "key", "t", "r", lambda: 5), calls
    finally:
        server.kill()


def answer_of(*samples):
    return 200, {"known": True, "remaining": 1, "samples": samples}


def run(client, deadline=5.0):
    return client.run_step(1, GROUPS, staleness_bound=1, deadline=deadline)


def test_each_slot_is_yielded_once_although_the_owner_repeats_itself():
    # Guards against duplicates from an owner that ignores the received set, and from
    # two pulls of one step at the same time.
    def pull(body):
        eventlet.sleep(0.02)
        return answer_of(*(sample(*slot) for slot in SLOTS), *(sample(0, 0),) * 2)

    with entry_vm(pull) as (client, _):
        seen = []
        second = eventlet.spawn(lambda: seen.extend(run(client)))
        for received in run(client):
            seen.append(received)
            eventlet.sleep(0.03)
        second.wait()
    assert sorted((s.group, s.index) for s in seen) == SLOTS


def test_samples_that_are_too_old_or_badly_labelled_are_not_yielded():
    # Guards invariants 1 and 2 against whatever happened on the way.
    bad = [
        sample(0, 0, ((3, 4),)),
        sample(0, 1, ((5, 2), (3, 2))),
        sample(1, 0, ()),
        sample(1, 1, ((5, 3),)),
        sample(1, 2, ((0, 4),)),
        sample(7, 0),
        sample(0, 2),
        sample(-1, 0),
    ]
    pulls = []

    def pull(body):
        pulls.append(base64.b64decode(body["received"]))
        good = [sample(*slot, ((4, 2), (5, 2))) for slot in SLOTS]
        return answer_of(*(bad if len(pulls) == 1 else good))

    with entry_vm(pull) as (client, _):
        seen = list(run(client))
    assert pulls == [b"\x00", b"\x00"]
    assert [s.versions for s in seen] == [((4, 2), (5, 2))] * 5


def test_an_owner_that_forgot_the_step_gets_it_again_with_the_received_set():
    # Guards against a step that ends, or starts anew, when its owner is lost.
    answers = [
        answer_of(sample(0, 1)),
        (404, {"known": False}),
        (503, {"error": "the owner is changing"}),
        answer_of(*(sample(*slot) for slot in SLOTS)),
    ]
    with entry_vm(lambda body: answers.pop(0)) as (client, calls):
        assert len(list(run(client))) == 5
    opened = [base64.b64decode(body["received"]) for m, body in calls if m == "PUT"]
    assert opened == [b"\x00", b"\x02"]
    assert calls[-1][0] == "DELETE"


@pytest.mark.parametrize("status", [400, 401, 403, 404, 409])
def test_refusals_for_good_are_raised_at_once_with_their_reason(status):
    # Guards against a trainer that waits for its deadline for nothing.
    started = time.monotonic()
    refusal = (status, {"error": "because of that"})
    with (
        entry_vm(lambda body: answer_of(), lambda body: refusal) as (client, _),
        pytest.raises(StepFailedError, match=f"{status}: because of that"),
    ):
        list(run(client))
    assert time.monotonic() - started < 2.0


def test_the_deadline_ends_a_step_and_the_next_run_yields_the_rest():
    # Guards against a call without end, and against a repeated run that yields what
    # was received before.
    answers = [answer_of(sample(0, 0))]

    def pull(body):
        eventlet.sleep(0.05)
        return answers.pop(0) if answers else answer_of()

    with entry_vm(pull) as (client, _):
        seen = []
        with pytest.raises(StepFailedError, match="deadline"):
            seen.extend(run(client, deadline=0.5))
        answers.append(answer_of(*(sample(*slot) for slot in SLOTS)))
        rest = list(run(client))
    assert len(seen) == 1 and len(rest) == 4
