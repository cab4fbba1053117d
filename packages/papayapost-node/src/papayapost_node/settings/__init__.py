"""Loads and validates a node's settings file and keys file.

Both files are JSON. Validation reports all findings of a file at once.
"""

from papayapost_node.settings.figures import (
    DeploymentFigures,
    DeploymentSettings,
    load_figures,
)
from papayapost_node.settings.keys import KeysFile, load_keys
from papayapost_node.settings.load import load_settings
from papayapost_node.settings.model import (
    BackendServerSettings,
    Discovery,
    HttpSettings,
    QueueOrder,
    RetryBudgetSettings,
    RolloutSettings,
    SecurityMode,
    SecuritySettings,
    Settings,
    SlowStart,
)

__all__ = [
    "BackendServerSettings",
    "DeploymentFigures",
    "DeploymentSettings",
    "Discovery",
    "HttpSettings",
    "KeysFile",
    "QueueOrder",
    "RetryBudgetSettings",
    "RolloutSettings",
    "SecurityMode",
    "SecuritySettings",
    "Settings",
    "SlowStart",
    "load_figures",
    "load_keys",
    "load_settings",
]
