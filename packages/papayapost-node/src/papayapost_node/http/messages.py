"""HTTP requests and answers with their bodies in memory."""

from dataclasses import field

from papayapost.define import define

__all__ = ["Headers", "HttpAnswer", "HttpRequest"]

Headers = list[tuple[bytes, bytes]]


@define
class HttpRequest:
    """A request with its body; header names are in lower case."""

    method: str
    target: str
    headers: Headers
    body: bytes = b""


@define
class HttpAnswer:
    """An answer with its body; header names are in lower case.

    Parameters
    ----------
    is_whole
        False if the connection closed before the end of the body.
    """

    status: int
    headers: Headers = field(default_factory=list)
    body: bytes = b""
    is_whole: bool = True

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header, or None.

        Parameters
        ----------
        name
            Name of the header in lower case.
        """
        return next((value for key, value in self.headers if key == name), None)
