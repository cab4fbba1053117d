"""Types of identifiers and units that all parts of papayapost share."""

from typing import NewType

__all__ = [
    "NO_VERSION",
    "AccountName",
    "Address",
    "AttemptId",
    "CallId",
    "ConnectionEpoch",
    "DataCentreId",
    "IdempotencyKey",
    "Incarnation",
    "InstanceId",
    "KeyDigest",
    "LeaseTerm",
    "Micros",
    "NodeId",
    "Owner",
    "QuotaPartition",
    "RegionId",
    "ReportId",
    "RequestName",
    "RouteId",
    "RuleVersion",
    "ServiceName",
    "SoftwareVersion",
    "StoreEra",
]

NodeId = NewType("NodeId", str)
"""Name of a node, unique in the mesh; it does not change on a restart."""

Incarnation = NewType("Incarnation", int)
"""Start time of a node's process in µs; higher after each restart."""

InstanceId = NewType("InstanceId", str)
"""The name a backend server gives itself; a restart may change it."""

DataCentreId = NewType("DataCentreId", str)
RegionId = NewType("RegionId", str)
ServiceName = NewType("ServiceName", str)

SoftwareVersion = NewType("SoftwareVersion", str)
"""Version of the software that a backend server runs; empty if not known."""

AccountName = NewType("AccountName", str)
"""Name of a client account, unique in the rules."""

KeyDigest = NewType("KeyDigest", str)
"""Digest of an account's secret key, as 32 lower-case hexadecimal digits."""

QuotaPartition = NewType("QuotaPartition", int)
"""A group of the accounts with a quota, from 0."""

LeaseTerm = NewType("LeaseTerm", int)
"""Store version at which a node took a lease; 0 means that it has none."""

Address = NewType("Address", str)
"""An ``ip:port`` pair; the host part is an IP address, never a name."""

RuleVersion = NewType("RuleVersion", int)
"""Version of the rules; 0 means none.

It is the number that the operator gave them, or else the store's version of
the rules object. It orders the rules, whatever the store holds at the moment.
"""

NO_VERSION = RuleVersion(0)

StoreEra = NewType("StoreEra", int)
"""How often the store has come back from an older copy, as it counts it; 0 if
it does not say so."""

CallId = NewType("CallId", int)
"""A call at its entry node; unique within the node's process."""

AttemptId = NewType("AttemptId", str)
"""One attempt of a call at one backend server; unique in the mesh."""

ConnectionEpoch = NewType("ConnectionEpoch", int)
"""Number of the connection on which the entry node sent an attempt."""

RequestName = NewType("RequestName", str)
"""Name that the caller gave a request; empty if it gave none."""

ReportId = NewType("ReportId", int)
"""One report of this node's backend server; unique within the process."""

RouteId = NewType("RouteId", int)
"""32-bit hash of a route's methods, host and path, the same at all nodes."""

IdempotencyKey = NewType("IdempotencyKey", str)
Owner = NewType("Owner", str)
"""The person responsible for a rule, named in its trailing comment."""

Micros = NewType("Micros", int)
"""A time of the monotonic clock, or a duration, in microseconds."""
