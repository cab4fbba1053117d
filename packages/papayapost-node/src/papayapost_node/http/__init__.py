"""HTTP by h11: a server for callers and a client for everything else."""

from papayapost_node.http.connection import ClientConnection, HttpAnswer, HttpRequest
from papayapost_node.http.server import HttpServer, ServerCall

__all__ = [
    "ClientConnection",
    "HttpAnswer",
    "HttpRequest",
    "HttpServer",
    "ServerCall",
]
