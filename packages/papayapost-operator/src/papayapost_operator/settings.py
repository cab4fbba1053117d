"""Settings of the command-line tool ``papaya``."""

from pathlib import Path
from typing import Annotated

from msgspec import Meta
from msgspec.structs import replace

from papayapost.errors import UsageRefused
from papayapost.ids import Address
from papayapost_node.settings_file import (
    AddressText,
    NameText,
    SettingsModel,
    is_address,
    load_settings_file,
)

__all__ = ["OperatorSettings", "StoreOptions", "store_address_of"]


class OperatorSettings(SettingsModel, frozen=True):
    """Settings of the tool, as the operator's settings file holds them.

    Attributes
    ----------
    store_address
        Address of the object store.
    store_timeout_ms
        Time in ms that the store has for each answer.
    operator
        Name of the operator in the change record, or null for the login name.
    data_centres
        Data centres whose reports ``papaya status`` shows.
    """

    store_address: AddressText
    store_timeout_ms: Annotated[int, Meta(ge=50, le=60_000)] = 5_000
    operator: Annotated[str, Meta(min_length=1, max_length=100)] | None = None
    data_centres: list[NameText] = []


class StoreOptions:
    """The options that name the store, as given on the command line.

    Parameters
    ----------
    store
        Address of the store, used in place of that in the settings file;
        empty if not given.
    settings
        Path of a settings file; empty if not given.
    """

    def __init__(self, store: str, settings: str):
        self._store = store
        self._settings = settings

    def load(self) -> OperatorSettings:
        """Return the settings.

        Raises
        ------
        SettingsRefused
            If the settings file has faults; the error holds all findings.
        UsageRefused
            If no store is named, or its name is not an address.
        """
        if not self._store and not self._settings:
            raise UsageRefused(
                "no store is named; give --store ADDRESS or --settings FILE"
            )
        if not self._settings:
            address = store_address_of(self._store)
            return OperatorSettings(store_address=address)
        loaded = load_settings_file(Path(self._settings), OperatorSettings)
        if self._store:
            address = store_address_of(self._store)
            return replace(loaded, store_address=address)
        return loaded


def store_address_of(text: str) -> Address:
    """Return the store address given on the command line.

    Raises
    ------
    UsageRefused
        If the text is not an address.
    """
    if not is_address(text):
        raise UsageRefused(
            f"--store {text!r} is not an address; write an IP address and a port, "
            "as in 10.0.0.7:4100"
        )
    return Address(text)
