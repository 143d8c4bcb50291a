"""Tests of a planned stop of an entry daemon while callers send requests.

Guards against requests that were accepted just before or during the stop and that are
cut off without an answer.
"""

import itertools
import signal
from contextlib import closing
from http.client import HTTPConnection, HTTPException

import eventlet
import pytest

from ...coordination.tests.builders import until
from ...runtime.clock import boottime
from .builders import HOST, KEY, make_configuration, running

CALLERS = 24
# The load balancer stops opening connections after two probes, one each second.
ROUTED_S = 2.0


class Caller:
    """Caller that sends one request after the other until it is told to stop.

    Parameters
    ----------
    keeps : bool
        Whether it keeps its connection open for several requests.
    """

    def __init__(self, address, numbers, keeps):
        self.host, _, port = address.partition(":")
        self.port, self.numbers, self.keeps = int(port), numbers, keeps
        self.may_connect, self.may_send = True, True
        self.statuses, self.cut_off = {}, []

    def run(self):
        """Open connections and send requests on them."""
        while self.may_connect:
            with closing(
                HTTPConnection(self.host, self.port, timeout=10)
            ) as connection:
                try:
                    connection.connect()
                except OSError:
                    eventlet.sleep(0.05)
                    continue
                self._use(connection)

    def _use(self, connection):
        is_new = True
        while self.may_send:
            request_id = f"r{next(self.numbers)}"
            headers = {"Host": HOST, "X-Api-Key": KEY, "X-Request-Id": request_id}
            try:
                connection.request("POST", "/desk/", b"x", headers)
                response = connection.getresponse()
                response.read()
            except (OSError, HTTPException):
                self.cut_off.append((request_id, is_new))
                return
            self.statuses[request_id] = response.status
            is_new = False
            if not self.keeps or response.headers.get("Connection") == "close":
                return


@pytest.mark.parametrize("delay_s", [0.02, 0.6])
def test_no_accepted_request_is_cut_off(tmp_path, delay_s):
    with running(tmp_path, "vm1") as platform:
        for desk in platform.desks:
            desk.response_delay_s = delay_s
        numbers = itertools.count()
        callers = [
            Caller(platform.callers["vm1"], numbers, keeps=number % 2 == 0)
            for number in range(CALLERS)
        ]
        threads = [eventlet.spawn(caller.run) for caller in callers]
        eventlet.sleep(1.0)
        process = platform.processes.pop("vm1")
        process.send_signal(signal.SIGTERM)
        stopped_at = boottime()
        while boottime() - stopped_at < ROUTED_S:
            eventlet.sleep(0.05)
        for caller in callers:
            caller.may_connect = False
        assert until(lambda: process.poll() is not None, 12.0)
        assert process.returncode == 0
        for thread in threads:
            thread.wait()
        seen = {
            request["HTTP_X_REQUEST_ID"]
            for desk in platform.desks
            for request in desk.requests
        }
        # A request on a kept connection may cross the close of the connection, but then
        # it does not run.
        cut_off = [
            request_id
            for caller in callers
            for request_id, is_new in caller.cut_off
            if is_new or request_id in seen
        ]
        statuses = {k: v for caller in callers for k, v in caller.statuses.items()}
        assert list(statuses.values()).count(200) > CALLERS
        assert not cut_off
        # What runs is answered with the target's answer; only the rest is refused.
        assert {statuses[k] for k in seen & statuses.keys()} == {200}
        assert set(statuses.values()) <= {200, 503}


def allow_long_requests(platform):
    """Let requests of the plain service run once, and for up to 9 s."""
    routes = make_configuration()["routes"]
    changed = [
        {**route, "kind": "non_idempotent", "timeout-ms": 9000}
        if route["name"] == "desk"
        else route
        for route in routes
    ]
    platform.configure(make_configuration(2, routes=changed))
    assert until(lambda: '"revision":2' in platform.log("vm1"), 10.0)


def send_at(address, request_id, delay_s, answers):
    """Send a request after a while; record its status and what it waited for."""
    eventlet.sleep(delay_s)
    host, _, port = address.partition(":")
    headers = {"Host": HOST, "X-Api-Key": KEY, "X-Request-Id": request_id}
    with closing(HTTPConnection(host, int(port), timeout=15)) as connection:
        try:
            connection.request("POST", "/desk/", b"x", headers)
            response = connection.getresponse()
            response.read()
            answers[request_id] = response.status
        except (OSError, HTTPException) as error:
            answers[request_id] = repr(error)


def test_requests_that_end_before_the_last_part_of_the_grace_period_are_answered(
    tmp_path,
):
    # Guards against requests that were taken in the grace period, ran, and were aborted
    # long before its end. The target's work ends 6.1 to 6.6 s after the signal.
    with running(tmp_path, "vm1") as platform:
        for desk in platform.desks:
            desk.response_delay_s = 4.2
        allow_long_requests(platform)
        answers, address = {}, platform.callers["vm1"]
        process = platform.processes.pop("vm1")
        process.send_signal(signal.SIGTERM)
        threads = [
            eventlet.spawn(send_at, address, f"r{n}", 1.9 + 0.1 * n, answers)
            for n in range(6)
        ]
        for thread in threads:
            thread.wait()
        assert until(lambda: process.poll() is not None, 12.0)
        assert process.returncode == 0
        assert set(answers.values()) == {200}


def test_a_request_that_may_not_end_before_the_stop_is_refused_at_once(tmp_path):
    # Guards against requests that run and are aborted at the end of the grace period,
    # although other daemons could have served them.
    with running(tmp_path, "vm1") as platform:
        for desk in platform.desks:
            desk.response_delay_s = 5.5
        allow_long_requests(platform)
        answers, address = {}, platform.callers["vm1"]
        send_at(address, "before", 0.0, answers)
        process = platform.processes.pop("vm1")
        process.send_signal(signal.SIGTERM)
        thread = eventlet.spawn(send_at, address, "early", 0.1, answers)
        send_at(address, "late", 2.2, answers)
        assert answers == {"before": 200, "late": 503}
        thread.wait()
        assert answers["early"] == 200
        assert until(lambda: process.poll() is not None, 12.0)
        assert process.returncode == 0
