"""Applying a rules text: propose, update on condition, record."""

from papayapost.record.apply.messages import (
    ApplyAsked,
    ApplyFinished,
    ApplyOutcome,
    ApplyReport,
)
from papayapost.record.apply.part import build_apply

__all__ = [
    "ApplyAsked",
    "ApplyFinished",
    "ApplyOutcome",
    "ApplyReport",
    "build_apply",
]
