"""Adapters to the protocols of the platform that a node is deployed on."""

import importlib
from abc import ABC, abstractmethod

from papayapost.errors import SurroundingsUnknown
from papayapost.ids import Address
from papayapost_node.exchange import Dialect, NativeDialect
from papayapost_node.reports import ReportCodec
from papayapost_node.settings import Settings
from papayapost_node.store import HttpStoreClient, StoreClient

__all__ = ["NativeSurroundings", "Surroundings", "load_surroundings"]


class Surroundings(ABC):
    """Creates the adapters between a node and the platform it is deployed on.

    The platform defines the protocol of the object store, the headers of
    requests and answers, and the format of backend server reports.
    """

    @abstractmethod
    def store_client(self, settings: Settings) -> StoreClient:
        """Return a client of the platform's object store."""

    @abstractmethod
    def dialect(self, settings: Settings) -> Dialect:
        """Return the translator of request and answer headers."""

    @abstractmethod
    def report_codec(self, settings: Settings) -> ReportCodec | None:
        """Return the codec of backend server reports.

        Return None if backend servers send no reports.
        """


class NativeSurroundings(Surroundings):
    """Creates the adapters for papayapost's own protocols."""

    def store_client(self, settings: Settings) -> StoreClient:
        """Return a client of papayapost's own object API."""
        return HttpStoreClient(Address(settings.store_address))

    def dialect(self, settings: Settings) -> Dialect:
        """Return the translator of papayapost's own headers."""
        return NativeDialect()

    def report_codec(self, settings: Settings) -> ReportCodec | None:
        """Return None: the settings fully describe the backend server."""
        return None


def load_surroundings(module: str | None) -> Surroundings:
    """Return the platform adapters that an importable module defines.

    Parameters
    ----------
    module
        Name of a module with a `SURROUNDINGS` object; None for papayapost's
        own protocols.

    Raises
    ------
    SurroundingsUnknown
        If the module cannot be imported, or its `SURROUNDINGS` object is
        missing or of another type.
    """
    if module is None:
        return NativeSurroundings()
    try:
        found = importlib.import_module(module).SURROUNDINGS
    except (ImportError, AttributeError) as error:
        raise SurroundingsUnknown(module, error) from error
    if not isinstance(found, Surroundings):
        raise SurroundingsUnknown(module, "its SURROUNDINGS has another type")
    return found
