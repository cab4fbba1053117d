"""Platform adapters whose requests and answers name the request.

An answer belongs to the request that has the same ``x-request-id``. A status
503 with ``x-not-run`` says that the request did not run.
"""

from collections.abc import Mapping
from dataclasses import replace

from papayapost.ids import RequestName
from papayapost_node.exchange import AnswerVerdict, CallTerms, NativeDialect
from papayapost_node.http import Headers
from papayapost_node.settings import Settings
from papayapost_node.surroundings import NativeSurroundings

__all__ = ["SURROUNDINGS", "NamingDialect"]

_NAME = b"x-request-id"
_NOT_RUN = b"x-not-run"


class NamingDialect(NativeDialect):
    """Judges answers by the request that they name."""

    def parse_call_terms(self, headers: Mapping[bytes, bytes]) -> CallTerms:
        """Return the terms of a request with its name."""
        name = RequestName(headers.get(_NAME, b"").decode("latin-1"))
        return replace(super().parse_call_terms(headers), name=name)

    def judge_answer(
        self, request: Headers, status: int, answer: Headers
    ) -> AnswerVerdict:
        """Return the verdict on the answer that followed a request."""
        headers = dict(answer)
        answered = headers.get(_NAME)
        if answered is not None and answered != dict(request).get(_NAME, b""):
            return AnswerVerdict.FOREIGN
        if _NOT_RUN in headers:
            is_named = answered is not None
            return AnswerVerdict.NOT_RUN if is_named else AnswerVerdict.NOT_RUN_UNNAMED
        return AnswerVerdict.BROKEN if answered is None else AnswerVerdict.ANSWER


class NamingSurroundings(NativeSurroundings):
    """Creates adapters for papayapost's own protocols, with named requests."""

    def dialect(self, settings: Settings) -> NamingDialect:
        """Return the dialect that names requests."""
        return NamingDialect()


SURROUNDINGS = NamingSurroundings()
