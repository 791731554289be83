"""Peer communication over Thrift: server, client and generated code."""

from .network import PeerNetwork
from .server import PeerServer

__all__ = ('PeerNetwork', 'PeerServer')
