"""Requests and answers with their whole bodies."""

from dataclasses import dataclass, field

__all__ = ["Headers", "HttpAnswer", "HttpRequest"]

Headers = list[tuple[bytes, bytes]]


@dataclass(slots=True)
class HttpRequest:
    """A request with its whole body."""

    method: str
    target: str
    headers: Headers
    body: bytes = b""


@dataclass(slots=True)
class HttpAnswer:
    """An answer with its body.

    Parameters
    ----------
    is_whole
        False when the connection ended before the body did.
    """

    status: int
    headers: Headers = field(default_factory=list)
    body: bytes = b""
    is_whole: bool = True

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header, its name in lower case."""
        return next((value for key, value in self.headers if key == name), None)
