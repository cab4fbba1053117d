"""The rules that calls are decided by."""

from dataclasses import dataclass

from papayapost.distribution import ACCEPTED_KEY, RULES_KEY, AcceptedRules
from papayapost.ids import NO_VERSION, RuleVersion
from papayapost.record.gather import FetchedObject
from papayapost.record.questions.question import Query
from papayapost.storage import ObjectKey

__all__ = ["CurrentRules", "ReadRules"]


@dataclass(frozen=True, slots=True)
class CurrentRules:
    """The accepted text, or the stored one where none is accepted yet.

    Parameters
    ----------
    version
        0 if the store holds no rules.
    failure
        Why the store could not be read; empty if it could.
    """

    version: RuleVersion
    text: str
    failure: str


class ReadRules(Query):
    """Reads the accepted rules and the rules object."""

    def __init__(self):
        self._objects: tuple[FetchedObject, ...] = ()

    def next_keys(self) -> tuple[ObjectKey, ...]:
        """Return both objects at once."""
        return () if self._objects else (ACCEPTED_KEY, RULES_KEY)

    def take(self, objects: tuple[FetchedObject, ...]) -> None:
        """Take both objects."""
        self._objects = objects

    def report(self) -> CurrentRules:
        """Return the accepted text if there is one."""
        accepted, rules = self._objects
        failure = accepted.failure or rules.failure
        if isinstance(accepted.value, AcceptedRules):
            return CurrentRules(accepted.value.version, accepted.value.text, failure)
        if isinstance(rules.value, str):
            return CurrentRules(RuleVersion(rules.version), rules.value, failure)
        return CurrentRules(NO_VERSION, "", failure)
