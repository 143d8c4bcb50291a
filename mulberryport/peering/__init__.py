"""Peer protocol between daemons: server, client and generated messages."""

from .notices import Notices
from .peers import Peers, call_address
from .proto import peer_pb2
from .server import PeerServer

__all__ = ["Notices", "PeerServer", "Peers", "call_address", "peer_pb2"]
