"""Tests of the caller port with separate processes that are killed or paused."""

import itertools
import threading
import time
from contextlib import closing, contextmanager
from http.client import HTTPConnection, HTTPException

from attrs import define, field

from ...runtime.http import call_json
from ...runtime.wsgi import split_address
from ...standins import expected_tokens
from ...standins.fleet import Fleet, find_free_address, wait_until
from ...tables import (
    change_tables,
    issue_key,
    new_change_id,
    parse_tables,
    with_keys_of,
    withdraw_key,
)
from ..refusals import OUTCOME_HEADER

TABLES = """
[workspace roads]
[route filing]
path = /filing/
pool = desk
workspaces = roads
timeout = 12
[route drafting]
path = /drafting/
pool = drafting
workspaces = roads
timeout = 30
[pool desk]
kind = plain-service
targets = {desks}
[pool drafting]
kind = model-engine
targets = {engines}
"""
ZONES = ["rosario", "parana", "santa-fe"]


@define(eq=False)
class TargetFleet(Fleet):
    """A fleet with the addresses of its targets."""

    engines: dict = field(factory=dict)
    desks: list = field(factory=list)


@contextmanager
def running_fleet(folder, daemons=3, desks=1, engines=0, refused=0):
    """Run daemons with services and engines; yield the fleet and a key."""
    fleet = TargetFleet(folder)
    try:
        fleet.start_platform()
        names = [f"desk{n}" for n in range(desks)]
        lines = [f"\n    {n} {fleet.start_target(n, 'service')} rosario" for n in names]
        lines += [
            f"\n    gone{n} {find_free_address()} rosario" for n in range(refused)
        ]
        fleet.engines = {
            f"engine{n}": fleet.start_target(f"engine{n}", "engine")
            for n in range(max(1, engines))
        }
        models = [f"\n    {n} {a} rosario" for n, a in fleet.engines.items()]
        fleet.desks = [line.split()[1] for line in lines[:desks]]
        fleet.add_daemons(ZONES[:daemons], extra_vm_lines="drain-delay = 1")
        fleet.start_daemons()
        text = TABLES.format(desks="".join(lines), engines="".join(models))
        tables = parse_tables(text, "tables")
        change_tables(
            fleet.store,
            lambda current: with_keys_of(tables, current),
            change_id=new_change_id(),
        )
        key, outcome = issue_key(fleet.store, "roads", change_id=new_change_id())
        fleet.wait_ready(outcome.value.revision)
        yield fleet, key
    finally:
        fleet.close()


def send(daemon, key, method, path, body=b"", **headers):
    """Return the status, outcome and body; the status of a broken connection is 0."""
    address = split_address(daemon.caller_address)
    with closing(HTTPConnection(*address, timeout=30)) as connection:
        try:
            all_headers = {n.replace("_", "-"): v for n, v in headers.items()}
            all_headers["Authorization"] = f"Bearer {key}"
            connection.request(method, path, body, all_headers)
            reply = connection.getresponse()
            content = reply.read()
        except (OSError, HTTPException):
            return 0, "unknown", b""
        return reply.status, reply.headers.get(OUTCOME_HEADER), content


def count_runs(fleet):
    """Return how often each path ran, according to the logs of the services."""
    counts = {}
    for address in fleet.desks:
        log = call_json("GET", f"http://{address}/log", timeout=5)
        for entry in log.value.body["requests"]:
            assert "AUTHORIZATION" not in entry["headers"]
            counts[entry["path"]] = counts.get(entry["path"], 0) + 1
    return counts


class Responses:
    """Collects the responses to requests that are sent in threads."""

    def __init__(self):
        self.by_path = {}

    def start(self, *arguments, **headers):
        """Send a request in a thread."""
        path = arguments[3].partition("?")[0]

        def run():
            self.by_path.setdefault(path, []).append(send(*arguments, **headers))

        thread = threading.Thread(target=run)
        thread.start()
        return thread


def test_outcomes_are_true_when_targets_fail(tmp_path):
    # Guards against a false "not-run", a second run and a truncated response when a
    # target refuses connections, is paused or is killed during a response.
    with running_fleet(tmp_path, 1, desks=1, engines=2, refused=1) as (fleet, key):
        daemon, responses = fleet.daemons[0], Responses()
        threads = [
            responses.start(daemon, key, "POST", f"/filing/{n}?duration=1")
            for n in range(12)
        ]
        body = b'{"prompt": "p", "max_tokens": 1500}'
        threads += [
            responses.start(daemon, key, "POST", f"/drafting/{n}", body)
            for n in range(6)
        ]
        wait_until(lambda: len(count_runs(fleet)) >= 6, 5, "requests run")
        seen = count_runs(fleet)
        fleet.kill("desk0")
        fleet.pause("engine0")
        for thread in threads:
            thread.join()
        for path, [(status, outcome, content)] in responses.by_path.items():
            if path.startswith("/drafting/"):
                lines = content.splitlines()
                assert status == 200 and lines[-1] == b'{"done":true,"length":1500}'
                tokens = [t for line in lines[:-1] for t in _tokens(line)]
                assert tokens == expected_tokens("p", 1500)
            elif outcome == "not-run":
                assert path not in seen
            else:
                assert outcome == "unknown" and status == 502


def _tokens(line):
    return line.split(b"[")[1].split(b"]")[0].replace(b'"', b"").decode().split(",")


def test_withdrawn_key_aborts_streams_at_all_daemons(tmp_path):
    # Guards against a stream that continues for more than 5 s after its key was
    # withdrawn.
    with running_fleet(tmp_path, 2) as (fleet, key):
        responses = Responses()
        body = b'{"prompt": "p", "max_tokens": 60000}'
        threads = [
            responses.start(daemon, key, "POST", f"/drafting/{daemon.vm}", body)
            for daemon in fleet.daemons
        ]
        url = f"http://{fleet.engines['engine0']}/log"

        def both_run():
            log = call_json("GET", url, timeout=5).value.body
            return len(log["requests"]) == 2 and log["generated"] > 200

        wait_until(both_run, 5, "both streams run")
        started = time.monotonic()
        withdraw_key(fleet.store, _key_id(fleet), change_id=new_change_id())
        for thread in threads:
            thread.join()
        assert time.monotonic() - started < 5.0
        assert [a[0][0] for a in responses.by_path.values()] == [0, 0]
        for daemon in fleet.daemons:
            assert send(daemon, key, "POST", "/filing/a")[:2] == (401, "not-run")
        assert not count_runs(fleet)
        for daemon in fleet.daemons:
            assert key not in daemon.log_file.read_text()


def _key_id(fleet):
    from ...tables import read_snapshot

    keys = read_snapshot(fleet.store).value.tables.keys.values()
    return next(iter(keys)).key_id


def test_repeated_key_runs_once_and_survives_a_killed_daemon(tmp_path):
    # Guards against a second run through another daemon, concurrently or after the
    # first daemon or the owner of the record was killed.
    with running_fleet(tmp_path, 3) as (fleet, key):
        first, second, third = fleet.daemons
        responses = Responses()
        numbers = range(4)
        threads = [
            responses.start(
                daemon,
                key,
                "POST",
                f"/filing/both{n}?duration=0.3",
                b"x",
                Idempotency_Key=f"both{n}",
            )
            for n, daemon in itertools.product(numbers, (first, second))
        ]
        for thread in threads:
            thread.join()
        for n in numbers:
            one, other = responses.by_path[f"/filing/both{n}"]
            assert one[0] == 200 and one == other
        # The daemon is killed during the request: the retry must not run it again.
        threads = [
            responses.start(
                first,
                key,
                "POST",
                f"/filing/cut{n}?duration=2",
                b"x",
                Idempotency_Key=f"cut{n}",
            )
            for n in numbers
        ]
        wait_until(lambda: len(count_runs(fleet)) == 8, 5, "requests run")
        fleet.kill(first.vm)
        retry = {"Mulberryport_Attempt": "2"}
        for n in numbers:
            path = f"/filing/cut{n}?duration=2"
            headers = {"Idempotency_Key": f"cut{n}", **retry}
            threads.append(responses.start(second, key, "POST", path, b"x", **headers))
            path = f"/filing/both{n}?duration=0.3"
            headers = {"Idempotency_Key": f"both{n}", **retry}
            # A replica still has the response, whichever daemon was the owner.
            assert send(third, key, "POST", path, b"x", **headers)[0] == 200
        for thread in threads:
            thread.join()
        for n in numbers:
            outcomes = {a[1] for a in responses.by_path[f"/filing/cut{n}"]}
            assert outcomes == {"unknown"}
        assert set(count_runs(fleet).values()) == {1}


def test_rolling_replacement_neither_breaks_nor_repeats_requests(tmp_path):
    # Guards against requests that break off, run twice or are lost while daemons are
    # replaced one by one behind a load balancer that respects readiness.
    with running_fleet(tmp_path, 3) as (fleet, key):
        ready = {daemon.vm: True for daemon in fleet.daemons}
        # How often each daemon was not ready: its earlier connections lead to a process
        # that has ended or will.
        absences = dict.fromkeys(ready, 0)
        stop, results, numbers = threading.Event(), {}, itertools.count()

        def watch(daemon):
            while not stop.is_set():
                answer = fleet.query_operator(daemon, "/readyz")
                is_ready = bool(answer and answer["ready"])
                absences[daemon.vm] += not is_ready
                ready[daemon.vm] = is_ready
                time.sleep(0.3)

        def load():
            connections = {}
            while not stop.is_set():
                number = next(numbers)
                usable = [d for d in fleet.daemons if ready[d.vm]]
                if not usable:
                    continue
                for vm, (absence, kept) in list(connections.items()):
                    if absence != absences[vm]:
                        kept.close()
                        del connections[vm]
                daemon = usable[number % len(usable)]
                absence, connection = connections.get(daemon.vm) or (
                    absences[daemon.vm],
                    HTTPConnection(*split_address(daemon.caller_address), timeout=20),
                )
                connections[daemon.vm] = absence, connection
                # Some requests last longer than the drain delay.
                duration = 0.03 if number % 10 else 1.7
                path = f"/filing/{number}?duration={duration}"
                try:
                    headers = {"X-Api-Key": key}
                    connection.request("POST", path, b"x", headers)
                    reply = connection.getresponse()
                    reply.read()
                    results[path.partition("?")[0]] = reply.status
                except (OSError, HTTPException) as error:
                    results[path.partition("?")[0]] = repr(error)
                    connections.pop(daemon.vm, None)

        threads = [threading.Thread(target=load) for _ in range(12)]
        # A daemon that is slow to answer must not delay what is seen of the others.
        threads += [threading.Thread(target=watch, args=(d,)) for d in fleet.daemons]
        for thread in threads:
            thread.start()
        try:
            for daemon in fleet.daemons:
                assert fleet.terminate(daemon.vm) == 0
                fleet.start_daemons()
                wait_until(lambda d=daemon: ready[d.vm], 10, "ready again")
        finally:
            stop.set()
            for thread in threads:
                thread.join()
        assert len(results) > 50
        assert {p: s for p, s in results.items() if s != 200} == {}
        assert count_runs(fleet) == dict.fromkeys(results, 1)
