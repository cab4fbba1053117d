"""Runs the steps of the flood benchmark on real processes."""

from collections import Counter
from collections.abc import Sequence
from pathlib import Path

from papayapost.ids import NodeId
from papayapost_operator.samples import MetricSamples
from papayapost_testing.demo.control import read_json, read_text, set_faults
from papayapost_testing.demo.director import Director, StepHandler
from papayapost_testing.demo.tables import StepKind, StepRow
from papayapost_testing.floods.messages import FloodEnded, FloodStarted
from papayapost_testing.floods.plans import (
    CAPACITY_PER_S,
    FloodScript,
    flood_call_types,
    flood_deployment,
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
        An empty folder that receives the settings files and logs.
    node_module
        Python module that each node's process runs.
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

    def _step_handlers(self) -> dict[StepKind, StepHandler]:
        return super()._step_handlers() | {
            StepKind.START_FLOOD: self._start_flood,
            StepKind.MEASURE_FLOOD: self._finish_flood,
            StepKind.SLOW_STORE: self._slow_store,
            StepKind.RESTART: self._restart_without_load,
        }

    async def _start_flood(self, step: StepRow) -> None:
        flood = self.floods.floods.require(FloodName(step.subject))
        self._runner.post(FloodStarted(flood.name, await self._readings()))
        call_types = flood_call_types(flood, self._deployment.call_types)
        self._load = LoadGenerator(call_types, _SEED, self._calls_before)
        for node_id in self._nodes.running_processes():
            self._load.open_entry(self._files.addresses[node_id].caller)
        self._load.set_rate(flood.load * CAPACITY_PER_S)

    async def _finish_flood(self, step: StepRow) -> None:
        load = self._load
        await load.finish()
        self._calls_before += sum(
            tally.arrived for tally in load.tables.tallies.values()
        )
        runs_by_key: Counter[str] = Counter()
        for addresses in self._files.addresses.values():
            runs_by_key.update(
                await read_json(addresses.backend, "/keys", dict[str, int])
            )
        name, readings = FloodName(step.subject), await self._readings()
        self._runner.post(FloodEnded(name, readings, load.tables, runs_by_key))

    async def _slow_store(self, step: StepRow) -> None:
        await set_faults(self._store_address, FaultsRow(slow_ms=_SLOW_STORE_MS))

    async def _restart_without_load(self, step: StepRow) -> None:
        await self._nodes.start(NodeId(step.subject))

    async def _readings(self) -> dict[NodeId, NodeReading]:
        addresses = self._files.addresses
        return {
            node_id: _parse_reading(
                await read_text(addresses[node_id].admin, "/metrics")
            )
            for node_id in self._nodes.running_processes()
        }


def _parse_reading(metrics: str) -> NodeReading:
    samples = MetricSamples(metrics)
    return NodeReading(
        int(samples.total("papayapost_calls_total")),
        int(samples.total("papayapost_attempts_offered_total")),
        samples.total("papayapost_cpu_seconds"),
    )
