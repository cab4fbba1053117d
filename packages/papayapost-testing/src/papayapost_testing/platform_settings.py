"""Settings of the process that plays the platform and the backend servers."""

from pathlib import Path

import msgspec

from papayapost.ids import Address
from papayapost_testing.backend import BehaviourRow

__all__ = ["BackendSettings", "PlatformSettings", "load_platform_settings"]


class BackendSettings(msgspec.Struct, forbid_unknown_fields=True):
    """One backend server stand-in."""

    address: Address
    behaviour: BehaviourRow


class PlatformSettings(msgspec.Struct, forbid_unknown_fields=True):
    """Addresses of the object store stand-in, and the backend servers."""

    store_addresses: list[Address]
    backend_servers: list[BackendSettings]


def load_platform_settings(path: Path) -> PlatformSettings:
    """Read a settings file.

    Raises
    ------
    msgspec.ValidationError
        If a field is unknown, missing or of the wrong type.
    """
    return msgspec.json.decode(path.read_bytes(), type=PlatformSettings)
