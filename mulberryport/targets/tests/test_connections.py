"""Tests of the pool of persistent connections."""

import socket

import eventlet
import pytest

from ...runtime.wsgi import listen
from ..connections import ConnectionPool


@pytest.fixture
def server():
    """Accept connections; yield the address and the accepted sockets."""
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


def test_idle_connection_is_reused(server):
    address, _ = server
    pool = ConnectionPool()
    first, reused = pool.acquire("t", address)
    assert not reused
    pool.release("t", address, first, "timeout=10")
    assert pool.acquire("t", address) == (first, True)


def test_fresh_connection_is_opened_although_an_idle_one_exists(server):
    address, _ = server
    pool = ConnectionPool()
    first, _ = pool.acquire("t", address)
    pool.release("t", address, first)
    again, reused = pool.acquire("t", address, fresh=True)
    assert again is not first and not reused


def test_closed_or_unexpectedly_readable_connection_is_not_reused(server):
    # Guards against reusing connections with unexpected bytes or closed by the peer.
    address, accepted = server
    pool = ConnectionPool()

    def send_unexpected_bytes(sock):
        sock.sendall(b"HTTP/1.1 200 OK\r\n")

    def close(sock):
        sock.shutdown(socket.SHUT_RDWR)

    for make_unusable in (send_unexpected_bytes, close):
        first, _ = pool.acquire("t", address)
        eventlet.sleep(0.01)
        pool.release("t", address, first)
        make_unusable(accepted[-1])
        eventlet.sleep(0.05)
        again, reused = pool.acquire("t", address)
        assert again is not first and not reused


def test_connections_expire_before_the_target_closes_them(server):
    address, _ = server
    pool = ConnectionPool()
    first, _ = pool.acquire("t", address)
    pool.release("t", address, first, "timeout=0")
    assert pool.acquire("t", address)[1] is False


def test_connections_of_another_target_at_the_same_address_are_not_reused(server):
    # Guards against requests to a different target that now uses the address.
    address, _ = server
    pool = ConnectionPool()
    first, _ = pool.acquire("t", address)
    pool.release("t", address, first)
    assert pool.acquire("u", address)[1] is False
