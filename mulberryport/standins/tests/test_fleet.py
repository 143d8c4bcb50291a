"""Tests of the fleet of local processes."""

import socket
import subprocess
import sys

import pytest

from .. import fleet
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


@pytest.fixture
def reservations(tmp_path, monkeypatch):
    """Keep the reservations of a test apart from those of other programs."""
    file = tmp_path / "reservations"
    monkeypatch.setattr(fleet, "RESERVATIONS_FILE", file)
    fleet._open_reservations.cache_clear()
    yield file
    fleet._open_reservations.cache_clear()


def test_programs_that_choose_ports_at_the_same_time_get_different_ones(
    monkeypatch, reservations
):
    # Guards against a daemon that cannot bind its port, or is taken for ready by the
    # answer of another program's daemon, because two programs drew the same port.
    monkeypatch.setattr(fleet, "FREE_PORTS", range(31_000, 31_040))
    script = (
        "from mulberryport.standins import fleet\n"
        f"fleet.RESERVATIONS_FILE = {str(reservations)!r}\n"
        "fleet.FREE_PORTS = range(31_000, 31_040)\n"
        "print(*[fleet.find_free_address() for _ in range(15)], flush=True)\n"
        "input()\n"
    )
    with subprocess.Popen(
        [sys.executable, "-c", script],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    ) as other:
        theirs = set(other.stdout.readline().split())
        ours = {find_free_address() for _ in range(15)}
        other.communicate("\n")
    assert len(theirs) == len(ours) == 15 and not theirs & ours
