"""The ways in which a backend server sends its answer, sound or not."""

from abc import ABC, abstractmethod
from dataclasses import dataclass, replace

import h11

from papayapost_node.http import Headers

__all__ = ["MISBEHAVIOURS", "SOUND", "Answer", "AnswerSending"]


@dataclass(slots=True)
class Answer:
    """The answer to a run."""

    status: int
    headers: Headers
    body: bytes
    signature: str


class AnswerSending(ABC):
    """Writes an answer to a connection."""

    @abstractmethod
    def send(self, http: h11.Connection, writer, answer: Answer) -> None:
        """Write the answer's bytes."""


class _Sound(AnswerSending):
    def send(self, http, writer, answer):
        length = (b"content-length", b"%d" % len(answer.body))
        response = h11.Response(
            status_code=answer.status, headers=[*answer.headers, length]
        )
        writer.write(http.send(response))
        writer.write(http.send(h11.Data(data=answer.body)))
        writer.write(http.send(h11.EndOfMessage()))


class _CutShort(AnswerSending):
    """Ends the connection within the body."""

    def send(self, http, writer, answer):
        length = (b"content-length", b"%d" % (len(answer.body) + 10))
        response = h11.Response(
            status_code=answer.status, headers=[*answer.headers, length]
        )
        writer.write(http.send(response) + answer.body)
        writer.close()


class _NoAnswer(AnswerSending):
    """Ends the connection without an answer."""

    def send(self, http, writer, answer):
        writer.transport.abort()


class _OtherBytes(AnswerSending):
    """Sends bytes that are no HTTP."""

    def send(self, http, writer, answer):
        writer.write(b"\x00\x01 no answer\r\n\r\n")
        writer.close()


class _ForeignAnswer(AnswerSending):
    """Sends an answer that names another request."""

    def send(self, http, writer, answer):
        headers = [
            (name, b"another" if b"request-id" in name.lower() else value)
            for name, value in answer.headers
        ]
        SOUND.send(http, writer, replace(answer, headers=headers))


class _Unsigned(AnswerSending):
    """Sends a success without its signature."""

    def send(self, http, writer, answer):
        headers = [item for item in answer.headers if b"signature" not in item[0]]
        SOUND.send(http, writer, replace(answer, headers=headers))


class _FurtherBytes(AnswerSending):
    """Sends bytes behind the whole answer."""

    def send(self, http, writer, answer):
        SOUND.send(http, writer, answer)
        writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nhi")


SOUND = _Sound()
MISBEHAVIOURS: tuple[AnswerSending, ...] = (
    _CutShort(),
    _NoAnswer(),
    _OtherBytes(),
    _ForeignAnswer(),
    _Unsigned(),
    _FurtherBytes(),
)
