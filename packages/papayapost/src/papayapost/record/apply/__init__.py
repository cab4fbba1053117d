"""Applying a rules text as the new version of the rules object.

An apply writes a proposal into the change record, replaces the rules object
with a conditional update, and then writes the record's entry of the new
version.
"""

from papayapost.record.apply.messages import (
    ApplyFinished,
    ApplyOutcome,
    ApplyReport,
    ApplyRequested,
)
from papayapost.record.apply.part import build_apply

__all__ = [
    "ApplyFinished",
    "ApplyOutcome",
    "ApplyReport",
    "ApplyRequested",
    "build_apply",
]
