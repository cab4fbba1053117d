"""Bounds that the checks use, with the pages that state them.

The names in parentheses are those of the deployment's bounds; RULES.md
defines what each one limits.
"""

from papayapost.ids import Micros

__all__ = [
    "CONFIG_US",
    "DRAIN_US",
    "EXIT_SLACK_US",
    "GRACE_US",
    "LOSS_SLACK_US",
    "MEMORY_BYTES",
    "RECOVERY_US",
    "REVOCATION_US",
    "ROLLBACK_SLACK_SLOWED_US",
    "ROLLBACK_SLACK_US",
    "STABLE_WINDOW_US",
]

STABLE_WINDOW_US = Micros(4_000_000)
"""Time in µs without a fault before bounds hold (``stable_window_ms``)."""

CONFIG_US = Micros(2_500_000)
"""Time in µs from the acknowledgement of a version until it is followed
(``config_ms``)."""

ROLLBACK_SLACK_US = Micros(250_000)
"""Time in µs from the first effect of a version until older ones may no
longer be followed (``rollback_slack_ms``)."""

ROLLBACK_SLACK_SLOWED_US = Micros(8 * ROLLBACK_SLACK_US)
"""The same for a node with a fault in the last stable window (RULES.md)."""

DRAIN_US = Micros(2_500_000)
"""Time in µs from the acknowledgement of a drain in which requests may still
arrive (``drain_ms``)."""

GRACE_US = Micros(6_000_000)
"""Time in µs from SIGTERM to SIGKILL (``grace_s``)."""

EXIT_SLACK_US = Micros(100_000)
"""Time in µs in which the soak learns of an exit; no page states it."""

LOSS_SLACK_US = Micros(200_000)
"""Time in µs after the last byte of a request in which a close may cross it
(``loss_slack_ms``)."""

RECOVERY_US = Micros(15_000_000)
"""Time in µs from the end of all faults until calls are served
(``recovery_s``)."""

REVOCATION_US = Micros(5_000_000)
"""Time in µs from the acknowledgement of a version until a key that it has
removed works nowhere (``revoke_ms``)."""

MEMORY_BYTES = 300 << 20
"""Largest resident memory of a node in bytes (``memory_mb``, SYSTEM.md)."""
