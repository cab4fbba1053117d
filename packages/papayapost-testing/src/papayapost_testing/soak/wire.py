"""What the soak speaks with the nodes, behind one abstract class.

The formats belong to the surroundings in which the nodes run. A module in
the folder of these surroundings' tests implements `Wire`.
"""

import importlib
import importlib.util
import sys
from abc import ABC, abstractmethod
from dataclasses import dataclass
from pathlib import Path

from papayapost.ids import Address, InstanceId, NodeId, RequestName, ServiceName
from papayapost_node.http import Headers, HttpRequest
from papayapost_testing.soak.rows import SecretKey, VersionRow

__all__ = ["NodePlace", "SeenRequest", "StoreStandIn", "Wire", "load_wire"]

_PACKAGE = "papayapost_soak_surroundings"
_MODULE = "soak_wire"


@dataclass(slots=True)
class NodePlace:
    """Where a node runs.

    Parameters
    ----------
    ip
        Address of the VM; the node's ports are the same on each.
    store, server
        Addresses at which the node reaches the store and its backend server.
    """

    node_id: NodeId
    ip: str
    data_centre: str
    region: str
    service: ServiceName
    store: Address
    server: Address


@dataclass(slots=True)
class SeenRequest:
    """What a backend server reads from a request's headers.

    Parameters
    ----------
    instance
        The only backend server that may run the request; empty for any.
    account
        Client account that the node names; empty if it names none.
    shows_key
        Whether the headers hold a secret key.
    """

    request_id: RequestName
    caller_service: str
    instance: str
    account: str
    shows_key: bool


class StoreStandIn(ABC):
    """A store that the soak hosts.

    Attributes
    ----------
    forced_status
        Status with which all requests are answered; 0 for regular answers.
    """

    forced_status: int = 0

    @abstractmethod
    async def start(self) -> None:
        """Start to serve."""

    @abstractmethod
    async def close(self) -> None:
        """Stop and close all connections."""

    @abstractmethod
    def write_rules(self, version: VersionRow) -> None:
        """Write a rules version; it is acknowledged on return."""

    @abstractmethod
    def forget_history(self) -> None:
        """Forget all changes made so far, but no object."""

    @abstractmethod
    def change_other_objects(self, count: int) -> None:
        """Make changes to an object of another program."""

    @abstractmethod
    def take_copy(self) -> None:
        """Keep a copy of all objects and changes as they are now."""

    @abstractmethod
    def go_away(self) -> None:
        """Serve nothing until `come_back`."""

    @abstractmethod
    def come_back(self, skipped: int) -> None:
        """Serve the copy in a new era.

        Parameters
        ----------
        skipped
            Number of revisions after that of the copy that are not given out.
        """


class Wire(ABC):
    """Reads and writes what passes between the soak and the nodes."""

    caller_port: int
    report_port: int

    @abstractmethod
    def settings(self, place: NodePlace) -> dict:
        """Return the settings of a node, as in its settings file."""

    @abstractmethod
    def store(self, address: Address) -> StoreStandIn:
        """Return a stand-in of the store."""

    @abstractmethod
    def request_headers(
        self, request_id: RequestName, timeout_ms: int, key: SecretKey
    ) -> Headers:
        """Return the headers of a caller's request."""

    @abstractmethod
    def read_request(self, headers: Headers) -> SeenRequest:
        """Read the headers of a request at a backend server."""

    @abstractmethod
    def answer_headers(self, request_id: RequestName, signature: str) -> Headers:
        """Return the headers of a backend server's answer."""

    @abstractmethod
    def refusal(
        self, request_id: RequestName, is_misdirected: bool
    ) -> tuple[int, Headers]:
        """Return status and headers of an answer that refuses to run."""

    @abstractmethod
    def read_answer(self, headers: Headers) -> tuple[RequestName, str]:
        """Return the request that an answer names and its signature."""

    @abstractmethod
    def report(
        self,
        place: NodePlace,
        server_id: InstanceId,
        born_ms: int,
        number: int,
        slots: int,
        is_draining: bool,
    ) -> HttpRequest:
        """Return a report of a backend server."""

    @abstractmethod
    def farewell(self, server_id: InstanceId, born_ms: int) -> HttpRequest:
        """Return the last report of a backend server, which leaves."""


def load_wire(folder: Path) -> Wire:
    """Return the `WIRE` of the module ``soak_wire`` in a folder.

    Raises
    ------
    FileNotFoundError
        If the folder has no such module.
    """
    if not (folder / f"{_MODULE}.py").is_file():
        raise FileNotFoundError(
            f"{folder} has no {_MODULE}.py; name the folder with --surroundings"
        )
    spec = importlib.util.spec_from_file_location(
        _PACKAGE, folder / "__init__.py", submodule_search_locations=[str(folder)]
    )
    assert spec is not None
    sys.modules[_PACKAGE] = importlib.util.module_from_spec(spec)
    return importlib.import_module(f"{_PACKAGE}.{_MODULE}").WIRE
