"""Peer protocol between daemons: server, client and generated messages."""

from .notices import Notices
from .peers import Peers
from .proto import peer_pb2
from .server import PeerServer

__all__ = ["Notices", "PeerServer", "Peers", "peer_pb2"]
