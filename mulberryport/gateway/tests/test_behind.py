"""Tests of refusals by a daemon that has missed a newer configuration."""

import pytest

from .builders import KEY, OTHER_KEY, call, running_gateway, scripted_target


def refused_with(harness, path, key):
    """Return the status of the response to a request with a key."""
    return call(harness, "GET", path, Authorization=f"Bearer {key}")[0]


@pytest.mark.parametrize(
    ("path", "key", "status"),
    [
        ("/added/", KEY, 404),
        ("/filing/", "mbp_" + "n" * 43, 401),
        ("/filing/", OTHER_KEY, 403),
    ],
)
def test_refusal_by_an_older_configuration_is_not_final(path, key, status):
    # Guards against a caller that gives up because a daemon has not read yet that the
    # route, the key or the permission was added, although other daemons have.
    with running_gateway("127.0.0.1:1") as harness:
        assert refused_with(harness, path, key) == status
        harness.is_behind[0] = True
        assert refused_with(harness, path, key) == 503


def test_known_route_is_served_by_an_older_configuration():
    # Guards against an outage at each change of the configuration.
    def respond(connection, head):
        connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")

    with scripted_target(respond) as (address, _), running_gateway(address) as harness:
        harness.is_behind[0] = True
        assert call(harness, "GET", "/filing/")[0] == 200
