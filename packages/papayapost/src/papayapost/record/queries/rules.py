"""Query for the rules text that the nodes route calls by."""

from papayapost.define import define
from papayapost.distribution import ACCEPTED_KEY, RULES_KEY, AcceptedRules
from papayapost.ids import NO_VERSION, RuleVersion
from papayapost.record.batch_read import FetchedObject
from papayapost.record.queries.query import Query
from papayapost.storage import ObjectKey

__all__ = ["CurrentRules", "ReadRules"]


@define(frozen=True)
class CurrentRules:
    """The accepted rules text, or the stored text if none is accepted yet.

    Parameters
    ----------
    version
        Version of the text; 0 if the store holds no rules.
    text
        Rules text; empty if the store holds none.
    failure
        Reason why an object could not be read; empty if no read failed.
    """

    version: RuleVersion
    text: str
    failure: str


class ReadRules(Query):
    """Reads the accepted rules and the rules object from the store."""

    def __init__(self):
        self._objects: tuple[FetchedObject, ...] = ()

    def next_keys(self) -> tuple[ObjectKey, ...]:
        """Return the keys of both objects, which are read in one round."""
        return () if self._objects else (ACCEPTED_KEY, RULES_KEY)

    def take(self, objects: tuple[FetchedObject, ...]) -> None:
        """Keep both objects for the report."""
        self._objects = objects

    def report(self) -> CurrentRules:
        """Return the accepted text if there is one, else the stored text."""
        accepted, rules = self._objects
        failure = accepted.failure or rules.failure
        if isinstance(accepted.value, AcceptedRules):
            return CurrentRules(accepted.value.version, accepted.value.text, failure)
        if isinstance(rules.value, str):
            return CurrentRules(RuleVersion(rules.version), rules.value, failure)
        return CurrentRules(NO_VERSION, "", failure)
