"""Codes of the faults that a rules text can have."""

from enum import Enum

__all__ = ["RuleFault"]


class RuleFault(Enum):
    """Stable code of a finding in a rules text; see docs/ERRORS.md."""

    NO_OWNER = "R001"
    UNKNOWN_RULE = "R002"
    INCOMPLETE_ROUTE = "R003"
    INCOMPLETE_SHARE = "R004"
    UNKNOWN_METHOD = "R005"
    BAD_PATH = "R006"
    BAD_SERVICE = "R007"
    UNKNOWN_OPTION = "R008"
    BAD_VALUE = "R009"
    MISSING_VALUE = "R010"
    DUPLICATE_OPTION = "R011"
    HEDGE_NOT_IDEMPOTENT = "R012"
    DUPLICATE_ROUTE = "R013"
    UNREACHABLE_ROUTE = "R014"
    DUPLICATE_SHARE = "R015"
    FLOORS_OVER_WHOLE = "R016"
    FLOOR_OVER_CEILING = "R017"
    CONTROL_CHARACTER = "R018"
    NOT_UTF8 = "R019"
    TEXT_TOO_LARGE = "R020"
    BAD_HOST = "R021"
    HEDGE_AFTER_TIMEOUT = "R022"
    LINE_TOO_LONG = "R023"
    TOO_MANY_FINDINGS = "R024"
    BAD_WEIGHT = "R025"
