"""Turns answers into the bytes of one connection."""

import h11

from papayapost_node.http.messages import Headers

__all__ = ["AnswerFraming"]

_OLD_VERSION = b"1.0"


class AnswerFraming:
    """Frames the answers of a connection, one after the other.

    Every method raises h11.LocalProtocolError for what does not fit the
    request or the head sent before, such as more body than was promised.

    Attributes
    ----------
    is_unframed
        Whether the present answer ends with the connection: the caller knows
        no chunks, and no length was given.
    """

    def __init__(self, http: h11.Connection):
        self._http = http
        self._has_length = False
        self.is_unframed = False

    @property
    def can_inform(self) -> bool:
        """Whether an informational answer may be sent now."""
        http = self._http
        is_old = http.their_http_version == _OLD_VERSION
        return http.our_state is h11.SEND_RESPONSE and not is_old

    @property
    def can_refuse(self) -> bool:
        """Whether no answer has begun."""
        return self._http.our_state in (h11.IDLE, h11.SEND_RESPONSE)

    def head(self, status: int, headers: Headers) -> bytes:
        """Return the bytes of an answer's head."""
        self._has_length = any(name == b"content-length" for name, _ in headers)
        is_old = self._http.their_http_version == _OLD_VERSION
        self.is_unframed = is_old and not self._has_length
        event = h11.Response(status_code=status, headers=headers)
        return self._http.send(event) or b""

    def body(self, data: bytes, is_ended: bool, trailers: Headers) -> bytes:
        """Return the bytes of a piece of the body.

        Parameters
        ----------
        trailers
            Left out where a length was given, as only chunks can carry them.
        """
        out = b""
        if data:
            out = self._http.send(h11.Data(data=data)) or b""
        if is_ended:
            last = [] if self._has_length else trailers
            out += self._http.send(h11.EndOfMessage(headers=last)) or b""
        return out

    def informational(self, status: int, headers: Headers) -> bytes:
        """Return the bytes of an informational answer."""
        event = h11.InformationalResponse(status_code=status, headers=headers)
        return self._http.send(event) or b""

    def refusal(self, status: int) -> bytes:
        """Return the bytes of a last, empty answer."""
        return self.head(status, [(b"content-length", b"0"), (b"connection", b"close")])
