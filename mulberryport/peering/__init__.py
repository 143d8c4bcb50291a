"""The protocol between daemons: server, one task per peer, generated messages."""

from .peers import HEARTBEAT_PERIOD_S, Peers
from .proto import peer_pb2
from .server import PeerServer

__all__ = ["HEARTBEAT_PERIOD_S", "PeerServer", "Peers", "peer_pb2"]
