"""Settings of the process that runs the stand-ins of a deployment."""

from pathlib import Path

import msgspec

from papayapost.ids import Address
from papayapost_testing.backend import BehaviourRow

__all__ = ["BackendSettings", "PlatformSettings", "load_platform_settings"]


class BackendSettings(msgspec.Struct, forbid_unknown_fields=True):
    """Address and behaviour of one backend server stand-in."""

    address: Address
    behaviour: BehaviourRow


class PlatformSettings(msgspec.Struct, forbid_unknown_fields=True):
    """Addresses of the object store and settings of the backend servers."""

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
