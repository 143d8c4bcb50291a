"""Tests of connections that are kept for further requests."""

import socket

import eventlet
import pytest

from ...runtime.wsgi import listen
from ..connections import ConnectionPool


@pytest.fixture
def server():
    """Accept connections; yields the address and the accepted sockets."""
    listener = listen("127.0.0.1:0")
    accepted = []

    def accept():
        while True:
            accepted.append(listener.accept()[0])

    thread = eventlet.spawn(accept)
    host, port = listener.getsockname()
    yield f"{host}:{port}", accepted
    thread.kill()
    listener.close()


def test_a_quiet_connection_is_used_again(server):
    address, _ = server
    pool = ConnectionPool()
    first, reused = pool.acquire("t", address)
    assert not reused
    pool.release("t", address, first, "timeout=10")
    assert pool.acquire("t", address) == (first, True)


def test_a_request_that_may_run_once_gets_a_new_connection(server):
    address, _ = server
    pool = ConnectionPool()
    first, _ = pool.acquire("t", address)
    pool.release("t", address, first)
    again, reused = pool.acquire("t", address, fresh=True)
    assert again is not first and not reused


def test_a_closed_or_talking_connection_is_not_used(server):
    # Guards against bytes that belong to no request, and against dead connections.
    address, accepted = server
    pool = ConnectionPool()

    def talk(sock):
        sock.sendall(b"HTTP/1.1 200 OK\r\n")

    def close(sock):
        sock.shutdown(socket.SHUT_RDWR)

    for spoil in (talk, close):
        first, _ = pool.acquire("t", address)
        eventlet.sleep(0.01)
        pool.release("t", address, first)
        spoil(accepted[-1])
        eventlet.sleep(0.05)
        again, reused = pool.acquire("t", address)
        assert again is not first and not reused


def test_connections_end_before_their_target_would_close_them(server):
    address, _ = server
    pool = ConnectionPool()
    first, _ = pool.acquire("t", address)
    pool.release("t", address, first, "timeout=0")
    assert pool.acquire("t", address)[1] is False


def test_connections_of_another_target_at_the_address_are_not_used(server):
    # Guards against requests to a target that took over an address.
    address, _ = server
    pool = ConnectionPool()
    first, _ = pool.acquire("t", address)
    pool.release("t", address, first)
    assert pool.acquire("u", address)[1] is False
