"""Writes the settings, key and rules files of a deployment."""

from dataclasses import dataclass
from itertools import islice
from pathlib import Path

import msgspec

from papayapost.ids import Address, DataCentreId, NodeId
from papayapost_node.security import new_key_pair
from papayapost_testing.demo.plans import Deployment, NodePlan, plan_nodes
from papayapost_testing.platform_settings import BackendSettings, PlatformSettings
from papayapost_testing.ports import free_addresses

__all__ = ["DeploymentFiles", "NodeAddresses", "write_files"]


@dataclass(frozen=True, slots=True)
class NodeAddresses:
    """Addresses on which a node and its backend server listen."""

    caller: Address
    peer: Address
    backend: Address
    admin: Address


@dataclass(frozen=True, slots=True)
class DeploymentFiles:
    """Folder, nodes and addresses of a deployment.

    Parameters
    ----------
    store_addresses
        Address of the object store for each data centre, in the order of
        the stand-in's listeners.
    """

    folder: Path
    plans: tuple[NodePlan, ...]
    addresses: dict[NodeId, NodeAddresses]
    store_addresses: dict[DataCentreId, Address]

    @property
    def platform_path(self) -> Path:
        """Path of the settings file of the stand-ins' process."""
        return self.folder / "platform.json"

    @property
    def rules_path(self) -> Path:
        """Path of the rules file that ``papaya apply`` reads."""
        return self.folder / "rules.txt"


def write_files(deployment: Deployment, folder: Path) -> DeploymentFiles:
    """Choose free addresses and write all files of a deployment.

    The rules file holds the text that is applied first.
    """
    plans = tuple(plan_nodes(deployment))
    free = iter(free_addresses(4 * len(plans) + len(deployment.places)))
    addresses = {plan.node_id: NodeAddresses(*islice(free, 4)) for plan in plans}
    stores = {place.data_centre: next(free) for place in deployment.places}
    files = DeploymentFiles(folder, plans, addresses, stores)
    _write_platform(files)
    _write_keys(files)
    seeds = _seeds(files)
    for plan in plans:
        _write_node(files, plan, seeds)
    files.rules_path.write_text(deployment.rules)
    return files


def _seeds(files: DeploymentFiles) -> list[Address]:
    """Return the peer address of the first node of each data centre."""
    first: dict[DataCentreId, Address] = {}
    for plan in files.plans:
        address = files.addresses[plan.node_id].peer
        first.setdefault(plan.place.data_centre, address)
    return list(first.values())


def _write_platform(files: DeploymentFiles) -> None:
    backends = [
        BackendSettings(files.addresses[plan.node_id].backend, plan.service.behaviour)
        for plan in files.plans
    ]
    settings = PlatformSettings(list(files.store_addresses.values()), backends)
    files.platform_path.write_bytes(msgspec.json.encode(settings))


def _keys_path(files: DeploymentFiles, data_centre: DataCentreId) -> Path:
    return files.folder / f"keys-{data_centre}.json"


def _write_keys(files: DeploymentFiles) -> None:
    """Write a keys file with a new key pair for each data centre.

    Each file allows the public keys of all data centres.
    """
    pairs = {name: new_key_pair() for name in files.store_addresses}
    allowed = [
        {"public_key": pair.public_key, "data_centre": name}
        for name, pair in pairs.items()
    ]
    for name, pair in pairs.items():
        own = {"public_key": pair.public_key, "secret_key": pair.secret_key}
        keys = {"own": own, "allowed": allowed}
        _keys_path(files, name).write_bytes(msgspec.json.encode(keys))


def _write_node(files: DeploymentFiles, plan: NodePlan, seeds: list[Address]) -> None:
    addresses = files.addresses[plan.node_id]
    settings = {
        "node_id": plan.node_id,
        "data_centre": plan.place.data_centre,
        "region": plan.place.region,
        "caller_address": addresses.caller,
        "peer_address": addresses.peer,
        "store_address": files.store_addresses[plan.place.data_centre],
        "admin_address": addresses.admin,
        "security": {
            "mode": "curve",
            "keys_file": str(_keys_path(files, plan.place.data_centre)),
        },
        "seeds": seeds,
        "backend_server": {
            "service": plan.service.name,
            "address": addresses.backend,
            "slots": plan.service.behaviour.slots,
            "connections": plan.service.connections,
        },
    }
    path = files.folder / f"{plan.node_id}.json"
    path.write_bytes(msgspec.json.format(msgspec.json.encode(settings)))
