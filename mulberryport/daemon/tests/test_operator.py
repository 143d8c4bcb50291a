"""Tests of the operator port."""

from ..operator import OperatorInterface

STATE = {
    "revision": 3,
    "confirmation_age": float("inf"),
    "store_readable": True,
    "keys_usable": False,
    "members": ["vm1"],
    "duties": [],
    "targets": [{"pool": "p", "healthy": True, "leaving": False, "in_flight": 2}],
    "steps": [{"step": "w/t/1", "remaining": 5}],
}


def ask(path, token="token", reasons=()):
    """Return status and body of a request."""
    interface = OperatorInterface("token", lambda: list(reasons), lambda: STATE)
    seen = []
    environ = {"PATH_INFO": path, "HTTP_AUTHORIZATION": f"Bearer {token}"}
    body = interface(environ, lambda status, headers: seen.append(status))
    return int(seen[0].split()[0]), b"".join(body)


def test_nobody_is_served_without_the_operator_token():
    # Guards against callers that read state or metrics.
    for path in ("/state", "/metrics", "/events", "/readyz", "/healthz"):
        assert ask(path, "other")[0] == 401


def test_readiness_names_its_reasons():
    assert ask("/readyz")[0] == 200
    status, body = ask("/readyz", reasons=["keys cannot be checked"])
    assert status == 503
    assert b"keys cannot be checked" in body


def test_metrics_hold_state_and_events():
    status, body = ask("/metrics")
    assert status == 200
    assert b"mulberryport_revision 3" in body
    assert b'mulberryport_targets_in_flight{pool="p"} 2' in body
