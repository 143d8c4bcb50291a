"""Tests of the fleet of local processes."""

import socket

from ..fleet import FREE_PORTS, find_free_address


def test_free_addresses_differ_and_are_not_those_of_outgoing_connections():
    # Guards against two daemons of a test that get the same port, and against a port
    # that an outgoing connection takes before its daemon listens on it.
    addresses = [find_free_address() for _ in range(2000)]
    assert len(set(addresses)) == len(addresses)
    ports = [int(address.rpartition(":")[2]) for address in addresses]
    with socket.socket() as connection:
        connection.bind(("127.0.0.1", 0))
        assert connection.getsockname()[1] not in FREE_PORTS
    assert all(port in FREE_PORTS for port in ports)
