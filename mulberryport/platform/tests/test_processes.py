"""Tests of entry daemons as processes, with stand-ins of the platform."""

import signal

import eventlet

from ...coordination.tests.builders import until
from ...runtime.clock import boottime
from .builders import KEY, OTHER_KEY, make_configuration, running


def test_a_request_reaches_its_target_as_it_was_sent(tmp_path):
    # Guards against forwarding API keys, or a workspace other than that of the key.
    with running(tmp_path, "vm1") as platform:
        status, headers, _ = platform.call(
            "vm1",
            "POST",
            "/desk/a%20b?q=1&api_key=x",
            b"body",
            X_Tenant="boats",
            X_Other="kept",
            X_Deadline_Ms="3000",
        )
        assert status == 200
        assert headers["X-Server-Stamp"].startswith("stamp of d")
        (seen,) = [r for desk in platform.desks for r in desk.requests]
        assert (seen["REQUEST_METHOD"], seen["body"]) == ("POST", "body")
        assert seen["PATH_INFO"] == "/desk/a b"
        assert seen["HTTP_X_TENANT"] == "roads"
        assert seen["HTTP_X_OTHER"] == "kept"
        assert "HTTP_X_API_KEY" not in seen
        assert 0 < int(seen["HTTP_X_DEADLINE_MS"]) <= 3000
        assert platform.call("vm1", "GET", "/none/")[0] == 404
        assert platform.call("vm1", "GET", "/desk/", key="w" * 20)[0] == 401


def test_refusals_and_broken_answers_are_tried_at_another_target(tmp_path):
    with running(tmp_path, "vm1") as platform:
        for fault in (503, 0, 500):
            for desk in platform.desks:
                desk.statuses[:] = []
            platform.desks[0].statuses[:] = [fault]
            platform.desks[1].statuses[:] = []
            for _ in range(4):
                status, headers, body = platform.call("vm1", "POST", "/desk/", b"x")
                assert status == 200 and b"from" in body
                assert "X-Server-Stamp" in headers


def test_a_request_that_may_run_once_is_sent_again_only_if_it_did_not_run(tmp_path):
    # Guards against executing a request twice.
    with running(tmp_path, "vm1") as platform:
        for desk in platform.desks:
            desk.statuses[:] = [503]
        status = platform.call("vm1", "POST", "/once/", b"x")[0]
        assert status == 503
        for desk in platform.desks:
            desk.statuses[:] = [0]
        before = sum(len(desk.requests) for desk in platform.desks)
        assert platform.call("vm1", "POST", "/once/", b"x")[0] == 502
        assert sum(len(desk.requests) for desk in platform.desks) == before + 1


def test_a_job_is_generated_labelled_and_scored(tmp_path):
    with running(tmp_path, "vm1") as platform:
        assert platform.submit("vm1") == 202
        assert platform.submit("vm1") == 202
        assert until(lambda: len(platform.results("vm1") or ()) == 4)
        for result in platform.results("vm1"):
            name = result["id"]
            assert result["state"] == "completed"
            assert result["text"] == f"{name}.1\n{name}.2\n{name}.3"
            assert result["versions"] == [1]
            assert result["score"].startswith("stamp of d")
        path = "/mulberryport/items/job1?id=job1-0"
        assert platform.call("vm1", "GET", path)[2] == b"\x00\x01"
        assert platform.call("vm1", "GET", path, key=OTHER_KEY)[0] == 404
        assert platform.call("vm1", "DELETE", "/mulberryport/lots/job1")[0] == 200
        assert sum(len(engine.started_items) for engine in platform.engines) == 4


def test_announced_weights_are_loaded_and_jobs_wait_for_them(tmp_path):
    with running(tmp_path, "vm1") as platform:
        platform.store.put("op/version/m", {"model": "m", "version": 2})
        assert platform.submit("vm1", **{"min-version": 2}) == 202
        assert until(lambda: len(platform.results("vm1") or ()) == 4, 12.0)
        assert all(r["versions"] == [2] for r in platform.results("vm1"))
        order = next(e for e in platform.engines if e.orders).orders[0]
        assert (order["op"], order["version"], order["mode"]) == (
            "version",
            2,
            "retain",
        )


def test_job_of_a_killed_owner_is_taken_over(tmp_path):
    # Guards against losing jobs when a process is killed.
    with running(tmp_path, "vm1", "vm2") as platform:
        for engine in platform.engines:
            engine.event_count, engine.event_interval_s = 60, 0.05
        assert platform.submit("vm1", items=6) == 202
        eventlet.sleep(1.0)
        owner = next(
            entry.value.decode().split()[0]
            for key, entry in platform.store.entries.items()
            if "/owner/" in key
        )
        other = "vm2" if owner == "vm1" else "vm1"
        platform.kill(owner)
        assert until(lambda: len(platform.results(other) or ()) == 6, 20.0)
        texts = [r["text"].count("\n") + 1 for r in platform.results(other)]
        assert texts == [60] * 6


def test_start_in_a_store_outage_loses_no_items_of_jobs_submitted_after_it(tmp_path):
    # Guards against jobs given up by a daemon that has not read its configuration when
    # the store answers again.
    with running(tmp_path, "vm1") as platform:
        platform.store.refusing = True
        platform.start("vm2", 1, wait=False)
        assert until(lambda: '"event":"entry_started"' in platform.log("vm2"), 15.0)
        eventlet.sleep(0.5)
        assert '"event":"serving"' not in platform.log("vm2")
        platform.store.refusing = False
        jobs = [f"job{n}" for n in range(3)]
        for job in jobs:
            assert until(lambda job=job: platform.submit("vm1", job) == 202, 10.0)
        for job in jobs:
            assert until(
                lambda job=job: len(platform.results("vm1", job) or ()) == 4, 15.0
            )
            results = platform.results("vm1", job)
            assert {result["state"] for result in results} == {"completed"}
        assert until(lambda: '"event":"serving"' in platform.log("vm2"), 10.0)
        assert '"event":"item_given_up"' not in platform.log("vm2")


def test_requests_go_on_in_an_outage_and_withdrawn_keys_end_after_it(tmp_path):
    with running(tmp_path, "vm1") as platform:
        platform.store.refusing = True
        eventlet.sleep(1.5)
        assert platform.call("vm1", "POST", "/desk/", b"x")[0] == 200
        status, headers, _ = platform.call(
            "vm1", "POST", "/drafts/", b'{"items":[]}', X_Request_Id="bad"
        )
        assert status == 400
        platform.configure(
            make_configuration(2, tenants=[{"name": "boats", "api-keys": [OTHER_KEY]}])
        )
        platform.store.refusing = False
        assert until(lambda: platform.call("vm1", "GET", "/desk/")[0] == 401, 3.0)
        assert platform.call("vm1", "GET", "/desk/", key=OTHER_KEY)[0] == 200


def test_usage_reports_count_the_requests_that_targets_started(tmp_path):
    with running(tmp_path, "vm1") as platform:
        for _ in range(5):
            platform.call("vm1", "POST", "/desk/", b"x")

        def total():
            usage = [body for kind, body in platform.store.reports if kind == "usage"]
            windows = {body["window"]: body["counts"] for body in usage}
            return sum(counts.get("roads", 0) for counts in windows.values())

        assert until(lambda: total() == 5, 12.0)


def test_a_planned_stop_finishes_running_requests(tmp_path):
    with running(tmp_path, "vm1") as platform:
        for desk in platform.desks:
            desk.response_delay_s = 0.3
        pending = eventlet.spawn(platform.call, "vm1", "POST", "/once/", b"x")
        eventlet.sleep(0.1)
        assert platform.terminate("vm1") == 0
        assert pending.wait()[0] == 200


def test_repeated_stop_signals_do_not_make_the_stop_a_failure(tmp_path):
    # Guards against an exit by the signal when it is repeated while the interpreter
    # shuts down.
    with running(tmp_path, "vm1") as platform:
        process = platform.processes.pop("vm1")
        deadline = boottime() + 12.0
        while process.poll() is None and boottime() < deadline:
            process.send_signal(signal.SIGTERM)
            eventlet.sleep(0.002)
        assert process.returncode == 0


def test_daemon_without_configuration_responds_with_503(tmp_path):
    # Guards against 404 and 401 from a daemon that has no routes or keys yet.
    with running(tmp_path) as platform:
        platform.store.refusing = True
        eventlet.spawn_n(platform.start, "vm1")
        assert until(lambda: "vm1" in platform.callers)

        def status():
            try:
                return platform.call("vm1", "GET", "/desk/", key=KEY)[0]
            except OSError:
                return None

        assert until(lambda: status() == 503, 15.0)
        platform.store.refusing = False
        assert until(lambda: status() == 200, 10.0)
