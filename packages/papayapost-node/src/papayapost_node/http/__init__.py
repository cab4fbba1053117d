"""HTTP/1.1 servers and clients, whose parser is h11."""

from papayapost_node.http.answer_sink import AnswerReading, AnswerSink
from papayapost_node.http.backend import BackendConnection
from papayapost_node.http.connection import ClientConnection
from papayapost_node.http.connection_host import SharedLimits
from papayapost_node.http.exchange import RequestHandler, ServerExchange
from papayapost_node.http.headers import content_length, forwardable, framing_headers
from papayapost_node.http.health import HealthPoller
from papayapost_node.http.held_bytes import HeldBytes
from papayapost_node.http.limit_counts import HttpLimit, LimitCounts
from papayapost_node.http.limits import HttpLimits
from papayapost_node.http.messages import Headers, HttpAnswer, HttpRequest
from papayapost_node.http.pool import BackendPool
from papayapost_node.http.server import StreamingServer
from papayapost_node.http.turns import Turns
from papayapost_node.http.whole_request_server import ServerCall, WholeRequestServer

__all__ = [
    "AnswerReading",
    "AnswerSink",
    "BackendConnection",
    "BackendPool",
    "ClientConnection",
    "Headers",
    "HealthPoller",
    "HeldBytes",
    "HttpAnswer",
    "HttpLimit",
    "HttpLimits",
    "HttpRequest",
    "LimitCounts",
    "RequestHandler",
    "ServerCall",
    "ServerExchange",
    "SharedLimits",
    "StreamingServer",
    "Turns",
    "WholeRequestServer",
    "content_length",
    "forwardable",
    "framing_headers",
]
