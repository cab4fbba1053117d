"""Turns the messages and effects of a call into events of the time line.

Systems note unusual events themselves. The ordinary steps of a call are noted
here, from its messages and effects, so that systems need no code for tracing.
"""

from collections.abc import Callable, Mapping
from typing import Any

from papayapost.observe import Event, Noted
from papayapost.traffic import (
    AnswerBegun,
    AnswerEnded,
    AttemptOffer,
    AttemptRefused,
    BackendCallEnded,
    BackendCallStart,
    CallArrived,
    CallerGone,
    CallRefusal,
    ForwardAnswer,
    OfferSend,
)

__all__ = [
    "EFFECT_TRACERS",
    "INPUT_TRACERS",
    "LOGGED_CALL_EVENTS",
    "RING_ONLY_EVENTS",
    "Tracer",
]

Tracer = Callable[[Any], Noted]
"""Returns the event for a message or an effect of a call."""


def _call_arrived_event(message: CallArrived) -> Noted:
    name = f"{message.name} " if message.name else ""
    budget = "" if message.budget_us is None else f" within {message.budget_us} us"
    detail = f"{name}{message.method} {message.host}{message.path}{budget}"
    return Noted(Event.CALL_ARRIVED, call_id=message.call_id, detail=detail)


def _caller_gone_event(message: CallerGone) -> Noted:
    return Noted(Event.CALLER_GONE, call_id=message.call_id)


def _offer_sent_event(effect: OfferSend) -> Noted:
    return Noted(
        Event.ATTEMPT_OFFERED,
        call_id=effect.call_id,
        attempt_id=effect.offer.attempt_id,
        detail=f"to {effect.address}{_basis_text(effect)}",
    )


def _basis_text(effect: OfferSend) -> str:
    """Describe the figures by which the owner node was chosen, if known."""
    basis = effect.basis
    if basis is None:
        return ""
    report_text = (
        "never reported"
        if basis.report_age_us is None
        else f"reported {basis.report_age_us} us ago"
    )
    return (
        f" for {basis.name or effect.call_id} by line {basis.line} of rules "
        f"{basis.version}: {effect.offer.service} {basis.distance.name.lower()}, "
        f"{basis.outstanding} outstanding attempts of this node, "
        f"{basis.free_slots} free slots ({report_text}), "
        f"{effect.offer.budget_us} us left"
    )


def _offer_taken_event(message: AttemptOffer) -> Noted:
    detail = f"{message.service} {message.rank.name.lower()}"
    return Noted(
        Event.ATTEMPT_TAKEN,
        attempt_id=message.attempt_id,
        peer=message.sender,
        detail=detail,
    )


def _backend_call_started_event(effect: BackendCallStart) -> Noted:
    return Noted(Event.BACKEND_CALL_STARTED, attempt_id=effect.attempt_id)


def _backend_call_ended_event(message: BackendCallEnded) -> Noted:
    ending = "whole" if message.is_whole else "cut short"
    detail = ending if message.is_sent else "never sent"
    if message.is_refused:
        detail = "refused as not run by the backend server"
    return Noted(Event.BACKEND_CALL_ENDED, attempt_id=message.attempt_id, detail=detail)


def _attempt_refused_event(message: AttemptRefused) -> Noted:
    return Noted(
        Event.ATTEMPT_REFUSED,
        attempt_id=message.attempt_id,
        peer=message.sender,
        detail=f"{message.code.value}, {message.free_slots} slots free, "
        f"retry after {message.retry_after_ms} ms",
    )


def _answer_begun_event(message: AnswerBegun) -> Noted:
    return Noted(
        Event.ANSWER_BEGUN,
        attempt_id=message.attempt_id,
        peer=message.sender,
        detail=str(message.status),
    )


def _answer_ended_event(message: AnswerEnded) -> Noted:
    detail = "whole" if message.is_whole else "cut short"
    return Noted(
        Event.ANSWER_ENDED,
        attempt_id=message.attempt_id,
        peer=message.sender,
        detail=detail,
    )


def _answer_forwarded_event(effect: ForwardAnswer) -> Noted:
    return Noted(
        Event.ANSWER_FORWARDED, call_id=effect.call_id, attempt_id=effect.attempt_id
    )


def _call_refused_event(effect: CallRefusal) -> Noted:
    return Noted(
        Event.CALL_REFUSED,
        call_id=effect.call_id,
        detail=f"{effect.status} {effect.code.value} {effect.outcome.value}"
        + (f" {effect.name}" if effect.name else ""),
    )


INPUT_TRACERS: Mapping[type, Tracer] = {
    CallArrived: _call_arrived_event,
    CallerGone: _caller_gone_event,
    AttemptOffer: _offer_taken_event,
    AttemptRefused: _attempt_refused_event,
    BackendCallEnded: _backend_call_ended_event,
    AnswerBegun: _answer_begun_event,
    AnswerEnded: _answer_ended_event,
}

EFFECT_TRACERS: Mapping[type, Tracer] = {
    OfferSend: _offer_sent_event,
    BackendCallStart: _backend_call_started_event,
    ForwardAnswer: _answer_forwarded_event,
    CallRefusal: _call_refused_event,
}

LOGGED_CALL_EVENTS = frozenset(
    [
        Event.CALL_ARRIVED,
        Event.CALLER_GONE,
        Event.ATTEMPT_OFFERED,
        Event.ATTEMPT_REFUSED,
        Event.BACKEND_CALL_ENDED,
        Event.ANSWER_BEGUN,
        Event.CALL_REFUSED,
    ]
)
"""Events of single calls that are logged, up to a limit of lines a second."""

RING_ONLY_EVENTS = frozenset(
    [
        Event.ATTEMPT_TAKEN,
        Event.BACKEND_CALL_STARTED,
        Event.ANSWER_FORWARDED,
        Event.ANSWER_ENDED,
    ]
)
"""Events of single calls that are kept in the ring but not logged."""
