"""Peer protocol between daemons: server, client and generated messages."""

from .peers import Peers
from .proto import peer_pb2
from .server import PeerServer

__all__ = ["PeerServer", "Peers", "peer_pb2"]
