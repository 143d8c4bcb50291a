"""Tests of the trainer client against a scripted entry VM."""

import base64
import time
from contextlib import contextmanager

import eventlet
import pytest

from ...runtime.wsgi import listen, read_json, respond, serve
from .. import Group, StepFailedError, TrainerClient

GROUPS = [Group("a", 2, 4), Group("b", 3, 4)]
SLOTS = [(0, 0), (0, 1), (1, 0), (1, 1), (1, 2)]


def make_sample(group, index, versions=((5, 4),)):
    return {
        "group": group,
        "index": index,
        "tokens": ["t"] * 4,
        "versions": versions,
        "target": "e1",
        "score": None,
    }


@contextmanager
def scripted_entry_vm(pull, opened=lambda body: (200, {})):
    """Serve scripted responses; yield a client at weight version 5 and its calls."""
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


def pull_answer(*samples):
    return 200, {"known": True, "remaining": 1, "samples": samples}


def run_step(client, deadline=5.0):
    return client.run_step(1, GROUPS, staleness_bound=1, deadline=deadline)


def test_each_slot_is_yielded_once_if_the_owner_sends_duplicates():
    # Guards against yielding duplicates if the owner ignores the received set, or if
    # two runs pull the same step concurrently.
    def pull(body):
        eventlet.sleep(0.02)
        return pull_answer(
            *(make_sample(*slot) for slot in SLOTS), *(make_sample(0, 0),) * 2
        )

    with scripted_entry_vm(pull) as (client, _):
        seen = []
        second = eventlet.spawn(lambda: seen.extend(run_step(client)))
        for received in run_step(client):
            seen.append(received)
            eventlet.sleep(0.03)
        second.wait()
    assert sorted((s.group, s.index) for s in seen) == SLOTS


def test_stale_or_mislabelled_samples_are_not_yielded():
    # Guards invariants 1 and 2 against samples that arrive too stale, with invalid
    # version spans or for slots that do not exist.
    invalid_samples = [
        make_sample(0, 0, ((3, 4),)),
        make_sample(0, 1, ((5, 2), (3, 2))),
        make_sample(1, 0, ()),
        make_sample(1, 1, ((5, 3),)),
        make_sample(1, 2, ((0, 4),)),
        make_sample(7, 0),
        make_sample(0, 2),
        make_sample(-1, 0),
    ]
    pulls = []

    def pull(body):
        pulls.append(base64.b64decode(body["received"]))
        valid_samples = [make_sample(*slot, ((4, 2), (5, 2))) for slot in SLOTS]
        return pull_answer(*(invalid_samples if len(pulls) == 1 else valid_samples))

    with scripted_entry_vm(pull) as (client, _):
        seen = list(run_step(client))
    assert pulls == [b"\x00", b"\x00"]
    assert [s.versions for s in seen] == [((4, 2), (5, 2))] * 5


def test_step_is_reopened_with_the_received_set_if_the_owner_lost_it():
    # Guards against a step that ends or starts from the beginning after its owner is
    # lost.
    answers = [
        pull_answer(make_sample(0, 1)),
        (404, {"known": False}),
        (503, {"error": "the owner is changing"}),
        pull_answer(*(make_sample(*slot) for slot in SLOTS)),
    ]
    with scripted_entry_vm(lambda body: answers.pop(0)) as (client, calls):
        assert len(list(run_step(client))) == 5
    opened = [base64.b64decode(body["received"]) for m, body in calls if m == "PUT"]
    assert opened == [b"\x00", b"\x02"]
    assert calls[-1][0] == "DELETE"


@pytest.mark.parametrize("status", [400, 401, 403, 404, 409])
def test_permanent_refusals_are_raised_at_once_with_their_reason(status):
    # Guards against retrying a call that cannot succeed until the deadline passes.
    started = time.monotonic()
    refusal = (status, {"error": "because of that"})
    with (
        scripted_entry_vm(lambda body: pull_answer(), lambda body: refusal) as (
            client,
            _,
        ),
        pytest.raises(StepFailedError, match=f"{status}: because of that"),
    ):
        list(run_step(client))
    assert time.monotonic() - started < 2.0


def test_deadline_ends_a_step_and_the_next_run_yields_the_rest():
    # Guards against a call that never returns, and against a repeated run that yields
    # samples again.
    answers = [pull_answer(make_sample(0, 0))]

    def pull(body):
        eventlet.sleep(0.05)
        return answers.pop(0) if answers else pull_answer()

    with scripted_entry_vm(pull) as (client, _):
        seen = []
        with pytest.raises(StepFailedError, match="deadline"):
            seen.extend(run_step(client, deadline=0.5))
        answers.append(pull_answer(*(make_sample(*slot) for slot in SLOTS)))
        rest = list(run_step(client))
    assert len(seen) == 1 and len(rest) == 4
