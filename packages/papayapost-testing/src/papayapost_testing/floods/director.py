"""Carries out the steps of a flood run."""

from collections import Counter
from collections.abc import Sequence
from pathlib import Path

from papayapost.ids import NodeId
from papayapost_operator.samples import Samples
from papayapost_testing.demo.control import read_json, read_text, set_faults
from papayapost_testing.demo.director import Director, StepWork
from papayapost_testing.demo.tables import StepKind, StepRow
from papayapost_testing.floods.messages import FloodBegun, FloodEnded
from papayapost_testing.floods.plans import (
    CAPACITY_PER_S,
    FloodScript,
    flood_deployment,
    flood_mixes,
)
from papayapost_testing.floods.systems import MeasureFloods
from papayapost_testing.floods.tables import (
    FloodName,
    FloodRow,
    FloodTables,
    NodeReading,
)
from papayapost_testing.load import LoadGenerator
from papayapost_testing.store import FaultsRow

__all__ = ["FloodDirector"]

_SEED = 21
_SLOW_STORE_MS = 500


class FloodDirector(Director):
    """Runs floods one after the other against the same nodes.

    Parameters
    ----------
    folder
        An empty folder for settings files and logs.
    node_module
        What each node's process runs.
    """

    def __init__(
        self,
        floods: Sequence[FloodRow],
        folder: Path,
        node_module: str = "papayapost_node.main",
    ):
        deployment = flood_deployment()
        self.floods = FloodTables(floods)
        self._calls_before = 0
        super().__init__(
            deployment,
            FloodScript(floods),
            folder,
            [MeasureFloods(self.floods)],
            node_module,
        )

    def _work(self) -> dict[StepKind, StepWork]:
        return super()._work() | {
            StepKind.FLOOD: self._flood,
            StepKind.MEASURE: self._measure,
            StepKind.SLOW_STORE: self._slow_store,
            StepKind.RESTART: self._start_again,
        }

    async def _flood(self, step: StepRow) -> None:
        flood = self.floods.floods.require(FloodName(step.subject))
        self._runner.post(FloodBegun(flood.name, await self._readings()))
        mixes = flood_mixes(flood, self._deployment.mixes)
        self._load = LoadGenerator(mixes, _SEED, self._calls_before)
        for node_id in self._nodes.usage():
            self._load.open_entry(self._files.addresses[node_id].caller)
        self._load.set_rate(flood.load * CAPACITY_PER_S)

    async def _measure(self, step: StepRow) -> None:
        load = self._load
        await load.finish()
        self._calls_before += sum(
            tally.arrived for tally in load.tables.tallies.values()
        )
        keys: Counter[str] = Counter()
        for addresses in self._files.addresses.values():
            keys.update(await read_json(addresses.backend, "/keys", dict[str, int]))
        name, readings = FloodName(step.subject), await self._readings()
        self._runner.post(FloodEnded(name, readings, load.tables, keys))

    async def _slow_store(self, step: StepRow) -> None:
        await set_faults(self._store_address, FaultsRow(slow_ms=_SLOW_STORE_MS))

    async def _start_again(self, step: StepRow) -> None:
        await self._nodes.start(NodeId(step.subject))

    async def _readings(self) -> dict[NodeId, NodeReading]:
        addresses = self._files.addresses
        return {
            node_id: _reading_of(await read_text(addresses[node_id].admin, "/metrics"))
            for node_id in self._nodes.usage()
        }


def _reading_of(metrics: str) -> NodeReading:
    samples = Samples(metrics)
    return NodeReading(
        int(samples.total("papayapost_calls_total")),
        int(samples.total("papayapost_attempts_offered_total")),
        samples.total("papayapost_cpu_seconds"),
    )
