"""Rate limit of claim updates."""

from papayapost.distribution import RulesTable
from papayapost.ids import Micros, ServiceName
from papayapost.membership import Directory
from papayapost.rules import Route, RuleSet

__all__ = ["MESH_WRITES_PER_S", "ClaimRateLimit"]

MESH_WRITES_PER_S = 200
"""Largest rate of claim updates that all nodes together send to the store."""

_BURST_WRITES = 5.0
_WRITING_METHODS = frozenset(["POST", "PUT", "PATCH", "DELETE"])


class ClaimRateLimit:
    """A token bucket that limits this node's claim updates.

    The rate for the whole mesh is divided evenly among the nodes of those
    services that have non-idempotent routes for writing methods.
    """

    def __init__(self, rules: RulesTable, directory: Directory):
        self._rules = rules
        self._directory = directory
        self._computed_from: RuleSet | None = None
        self._services: frozenset[ServiceName] = frozenset()
        self._tokens = _BURST_WRITES
        self._refilled_us = 0

    def wait_us(self, now_us: Micros) -> int:
        """Return the time in µs until the next update may be sent, else 0."""
        tokens_per_us = self._writes_per_us()
        refill_tokens = (now_us - self._refilled_us) * tokens_per_us
        self._tokens = min(_BURST_WRITES, self._tokens + refill_tokens)
        self._refilled_us = now_us
        return 0 if self._tokens >= 1 else int((1 - self._tokens) / tokens_per_us) + 1

    def spend(self) -> None:
        """Take one token for an update."""
        self._tokens -= 1

    def _writes_per_us(self) -> float:
        in_force = self._rules.in_force
        if in_force is not None and in_force.rules is not self._computed_from:
            self._computed_from = in_force.rules
            self._services = frozenset(
                service
                for route in self._computed_from.routes
                if _needs_claims(route)
                for service in route.services
            )
        node_count = sum(
            self._directory.count("service", name) for name in self._services
        )
        return MESH_WRITES_PER_S / max(1, node_count) / 1e6


def _needs_claims(route: Route) -> bool:
    if route.idempotent:
        return False
    return not route.methods or bool(route.methods & _WRITING_METHODS)
