"""Runs the steps that restart or pause nodes or set the store's faults."""

import asyncio
from collections.abc import Callable
from contextlib import closing

import msgspec

from papayapost.ids import Address, NodeId
from papayapost.record.apply import ApplyOutcome
from papayapost_node.http import ClientConnection
from papayapost_node.store import HttpStoreClient
from papayapost_testing.demo.control import read_json, set_faults
from papayapost_testing.demo.fault_scripts import LINK_RELAY
from papayapost_testing.demo.files import DeploymentFiles
from papayapost_testing.demo.messages import ApplyUnderFaultsEnded, StoredRulesRead
from papayapost_testing.demo.processes import NodeProcesses, run_papaya_unchecked
from papayapost_testing.demo.tables import StepRow
from papayapost_testing.load import LoadGenerator
from papayapost_testing.store import FaultsRow

__all__ = ["FaultSteps"]


_OPEN_TIMEOUT_S = 10
_OPEN_POLL_S = 0.05


class _NodeStatus(msgspec.Struct):
    is_link_relay: bool


class _ApplyReport(msgspec.Struct):
    outcome: ApplyOutcome


class _ApplyOutput(msgspec.Struct):
    report: _ApplyReport


class FaultSteps:
    """Handlers of the steps that restart or pause nodes or set store faults.

    Parameters
    ----------
    post
        Receives the results as input messages of the director.
    """

    def __init__(
        self,
        files: DeploymentFiles,
        nodes: NodeProcesses,
        load: LoadGenerator,
        post: Callable[[object], None],
    ):
        self._files = files
        self._nodes = nodes
        self._load = load
        self._post = post
        self._paused: NodeId | None = None

    async def restart_wave(self, step: StepRow) -> None:
        """Drain and restart the nodes of the step, all at the same time."""
        await asyncio.gather(*map(self._restart, step.nodes))

    async def _restart(self, node_id: NodeId) -> None:
        self._nodes.drain(node_id)
        await self._nodes.wait(node_id)
        await self._nodes.start(node_id)
        await self._wait_until_open(self._files.addresses[node_id].caller)
        self._load.open_entry(self._files.addresses[node_id].caller)

    async def _wait_until_open(self, address: Address) -> None:
        async with asyncio.timeout(_OPEN_TIMEOUT_S):
            while True:
                try:
                    (await ClientConnection.open(address)).close()
                    return
                except OSError:
                    await asyncio.sleep(_OPEN_POLL_S)

    async def pause(self, step: StepRow) -> None:
        """Pause the node of the step and let callers send no calls to it.

        The subject of the step is the id of the node, or `LINK_RELAY` for any
        link relay.
        """
        node_id = NodeId(step.subject)
        if step.subject == LINK_RELAY:
            node_id = await self._find_link_relay()
        self._paused = node_id
        self._nodes.pause(node_id)
        self._load.close_entry(self._files.addresses[node_id].caller)

    async def _find_link_relay(self) -> NodeId:
        for node_id, addresses in self._files.addresses.items():
            status = await read_json(addresses.admin, "/status", _NodeStatus)
            if status.is_link_relay:
                return node_id
        raise RuntimeError("no node reports in /status that it is a link relay")

    async def resume(self, step: StepRow) -> None:
        """Resume the paused node and let callers send calls to it again."""
        assert self._paused is not None
        self._nodes.resume(self._paused)
        self._load.open_entry(self._files.addresses[self._paused].caller)
        self._paused = None

    async def set_faults(self, step: StepRow) -> None:
        """Set the faults of the store.

        If the step ends all faults, the rules in the store are read and posted
        for the check of the ``papaya apply`` outcomes.
        """
        faults = step.faults or FaultsRow()
        address = next(iter(self._files.store_addresses.values()))
        await set_faults(address, faults)
        if faults == FaultsRow():
            with closing(HttpStoreClient(address)) as client:
                stored = await client.read("config", "rules")
            self._post(StoredRulesRead(stored.value.decode()))

    async def try_apply(self, step: StepRow, line: str) -> None:
        """Apply the rules file with one more line and post the outcome.

        The line stays in the file only if the outcome is accepted.
        """
        path = self._files.rules_path
        before = path.read_text()
        path.write_text(before + line + "\n")
        address = next(iter(self._files.store_addresses.values()))
        output = await run_papaya_unchecked(
            "apply", str(path), f"--store={address}", "--json"
        )
        outcome = msgspec.json.decode(output, type=_ApplyOutput).report.outcome
        if outcome is not ApplyOutcome.ACCEPTED:
            path.write_text(before)
        self._post(ApplyUnderFaultsEnded(line, outcome))
