"""Carries requests and answers between callers, peers and backend servers."""

from papayapost_node.exchange.carrier_delivery import (
    CarrierDelivery,
    NodeCarrierDelivery,
)
from papayapost_node.exchange.dialect import (
    AnswerVerdict,
    BackendTerms,
    CallTerms,
    Dialect,
    NativeDialect,
    parse_milliseconds,
)
from papayapost_node.exchange.entry_side import EntrySide
from papayapost_node.exchange.keys import (
    AUTHORIZATION_HEADER,
    digest_of_key,
    key_digest_of,
    without_key,
)
from papayapost_node.exchange.owner_side import OwnerSide
from papayapost_node.exchange.pacing import BulkPacer
from papayapost_node.exchange.unsent_answers import UnsentAnswers
from papayapost_node.exchange.windows import WindowBudget

__all__ = [
    "AUTHORIZATION_HEADER",
    "AnswerVerdict",
    "BackendTerms",
    "BulkPacer",
    "CallTerms",
    "CarrierDelivery",
    "Dialect",
    "EntrySide",
    "NativeDialect",
    "NodeCarrierDelivery",
    "OwnerSide",
    "UnsentAnswers",
    "WindowBudget",
    "digest_of_key",
    "key_digest_of",
    "parse_milliseconds",
    "without_key",
]
