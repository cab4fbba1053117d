"""Encodes the answers that a server sends on one connection."""

import h11

from papayapost_node.http.messages import Headers

__all__ = ["AnswerFraming"]

_HTTP_1_0 = b"1.0"


class AnswerFraming:
    """Encodes the answers of a connection, one after the other.

    Every method that returns bytes raises h11.LocalProtocolError if the answer
    does not fit the request or its own head. An example is a body that is
    longer than its Content-Length.

    Attributes
    ----------
    is_delimited_by_close
        Whether the end of the current answer is the close of the connection.
        An HTTP/1.0 caller cannot read chunks, so an answer to it without a
        Content-Length ends in this way.
    """

    def __init__(self, http: h11.Connection):
        self._http = http
        self._has_length = False
        self.is_delimited_by_close = False

    @property
    def can_send_informational(self) -> bool:
        """Whether a 1xx answer may be sent now.

        HTTP/1.0 callers never get one, as they do not know 1xx answers.
        """
        http = self._http
        is_http_1_0 = http.their_http_version == _HTTP_1_0
        return http.our_state is h11.SEND_RESPONSE and not is_http_1_0

    @property
    def can_refuse(self) -> bool:
        """Whether the head of the current answer has not been sent yet."""
        return self._http.our_state in (h11.IDLE, h11.SEND_RESPONSE)

    def head(self, status: int, headers: Headers) -> bytes:
        """Encode an answer's head."""
        self._has_length = any(name == b"content-length" for name, _ in headers)
        is_http_1_0 = self._http.their_http_version == _HTTP_1_0
        self.is_delimited_by_close = is_http_1_0 and not self._has_length
        event = h11.Response(status_code=status, headers=headers)
        return self._http.send(event) or b""

    def body(self, data: bytes, is_ended: bool, trailers: Headers) -> bytes:
        """Encode a piece of an answer's body.

        Parameters
        ----------
        is_ended
            Whether this is the last piece.
        trailers
            Trailers to send after the last piece. They are left out if the
            answer has a Content-Length, as only a chunked body can have them.
        """
        encoded = b""
        if data:
            encoded = self._http.send(h11.Data(data=data)) or b""
        if is_ended:
            sent_trailers = [] if self._has_length else trailers
            encoded += self._http.send(h11.EndOfMessage(headers=sent_trailers)) or b""
        return encoded

    def informational(self, status: int, headers: Headers) -> bytes:
        """Encode an informational (1xx) answer."""
        event = h11.InformationalResponse(status_code=status, headers=headers)
        return self._http.send(event) or b""

    def refusal(self, status: int) -> bytes:
        """Encode an empty answer, after which the connection is closed."""
        return self.head(status, [(b"content-length", b"0"), (b"connection", b"close")])
