"""Adapters to the protocols of the platform that a node is deployed on."""

from abc import abstractmethod

from papayapost.errors import SurroundingsUnknown
from papayapost.findings import Finding
from papayapost.ids import Address
from papayapost_node.exchange import Dialect, NativeDialect
from papayapost_node.reports import ReportCodec
from papayapost_node.settings import (
    DeploymentFigures,
    DeploymentSettings,
    Settings,
    load_figures,
)
from papayapost_node.settings_file import SettingsFault
from papayapost_node.store import HttpStoreClient, StoreClient

__all__ = ["NativeSurroundings", "Surroundings", "load_surroundings"]


class Surroundings(DeploymentFigures):
    """Creates the adapters between a node and the platform it is deployed on.

    The platform defines the protocol of the object store, the headers of
    requests and answers, the format of backend server reports, and the names
    and units in which it states the figures of a deployment.
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

    def deployment_settings(self, figures: object) -> DeploymentSettings:
        """Return no settings: papayapost's own settings state all figures."""
        finding = Finding(
            SettingsFault.UNKNOWN_KEY.value,
            "deployment",
            "no platform module is named that knows these figures",
            "remove the key, or name the module under surroundings",
        )
        return DeploymentSettings({}, (finding,))

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
    found = load_figures(module)
    if not isinstance(found, Surroundings):
        raise SurroundingsUnknown(module, "its SURROUNDINGS has another type")
    return found
