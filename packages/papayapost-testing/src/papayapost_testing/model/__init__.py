"""Specifications of the core protocols, for exhaustive model checking."""

from papayapost_testing.model.at_most_once import (
    AT_MOST_ONCE_FAULTS,
    AtMostOnceSpec,
)
from papayapost_testing.model.checking import CheckResult, check
from papayapost_testing.model.lease_protocol import LeaseSpec
from papayapost_testing.model.quota_faults import QUOTA_FAULTS
from papayapost_testing.model.quota_protocol import QuotaSpec
from papayapost_testing.model.rules_faults import BLOCKED_VARIANT, RULES_FAULTS
from papayapost_testing.model.rules_protocol import RulesSpec

__all__ = [
    "AT_MOST_ONCE_FAULTS",
    "BLOCKED_VARIANT",
    "QUOTA_FAULTS",
    "RULES_FAULTS",
    "AtMostOnceSpec",
    "CheckResult",
    "LeaseSpec",
    "QuotaSpec",
    "RulesSpec",
    "check",
]
