"""Runs the steps of a script on one deployment of real processes."""

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from contextlib import closing
from dataclasses import replace
from pathlib import Path
from random import Random

from papayapost.ids import DataCentreId, Micros, NodeId, RuleVersion
from papayapost.kernel import System, World
from papayapost_node.clock import SystemClock
from papayapost_node.runner import EffectHandler, WorldRunner
from papayapost_node.store import HttpStoreClient
from papayapost_testing.demo.control import (
    read_json,
    read_store_counts,
    read_text,
    send_traced_call,
    set_faults,
)
from papayapost_testing.demo.fault_steps import FaultSteps
from papayapost_testing.demo.files import write_files
from papayapost_testing.demo.messages import (
    PerformStep,
    ReportProgress,
    RulesApplied,
    ScriptDone,
    ScriptStarted,
    StepPerformed,
)
from papayapost_testing.demo.node_metrics import parse_node_metrics
from papayapost_testing.demo.plans import Deployment
from papayapost_testing.demo.processes import (
    NodeProcesses,
    run_papaya,
    start_module,
    stop_process,
)
from papayapost_testing.demo.results import DemoResults
from papayapost_testing.demo.script import Script
from papayapost_testing.demo.systems import CheckApplyOutcomes, RunScript, TrackNodes
from papayapost_testing.demo.tables import DemoTables, NodeRow, StepKind, StepRow
from papayapost_testing.latency_mesh.processes import process_cpu_us
from papayapost_testing.load import LoadGenerator
from papayapost_testing.store import FaultsRow, ListenerId

__all__ = ["Director"]

StepHandler = Callable[[StepRow], Awaitable[None]]

_RATE_PER_S = 120.0
_SEED = 20
_IDLE_MEASUREMENT_S = 3.0


class Director:
    """Starts one deployment, runs a script on it and stops it.

    Parameters
    ----------
    folder
        An empty folder that receives the settings files and logs.
    systems
        Further systems of the director's world.
    node_module
        Python module that each node's process runs.
    """

    def __init__(
        self,
        deployment: Deployment,
        script: Script,
        folder: Path,
        systems: Sequence[System] = (),
        node_module: str = "papayapost_node.main",
    ):
        self._deployment = deployment
        self._files = write_files(deployment, folder)
        self._edits = list(deployment.edits)
        self.tables = DemoTables(script.build(deployment))
        for plan in self._files.plans:
            row = NodeRow(plan.node_id, plan.place.data_centre)
            self.tables.nodes.put(plan.node_id, row)
        own = [
            TrackNodes(self.tables),
            CheckApplyOutcomes(self.tables),
            RunScript(self.tables),
        ]
        handlers: dict[type, EffectHandler] = {
            PerformStep: self._perform,
            ReportProgress: self._print_progress,
            ScriptDone: self._finish_run,
        }
        world = World([*own, *systems], Random(_SEED))
        self._clock = SystemClock()
        self._runner = WorldRunner(world, self._clock, handlers)
        self._nodes = NodeProcesses(folder, self._runner.post, node_module)
        self._load = LoadGenerator(
            [
                replace(call_type, repeats=script.repeats)
                for call_type in deployment.call_types
            ],
            _SEED,
        )
        self._faults = FaultSteps(
            self._files, self._nodes, self._load, self._runner.post
        )
        self._platform: asyncio.subprocess.Process | None = None
        self._tasks: set[asyncio.Task] = set()
        self._done = asyncio.Event()
        self._started_us = self._clock.now_us()
        self._nodes_started_us = self._started_us
        self._failure: BaseException | None = None
        self.results = DemoResults(
            deployment.name, script, self.tables, self._load.tables
        )

    async def run(self) -> DemoResults:
        """Run the script and stop all processes, also after an error.

        Raises
        ------
        Exception
            The error of the step that failed.
        """
        self._runner.post(ScriptStarted())
        try:
            await self._done.wait()
        finally:
            await self._nodes.stop()
            if self._platform is not None:
                await stop_process(self._platform)
            self._runner.close()
        if self._failure is not None:
            raise self._failure
        return self.results

    def _print_progress(self, progress: ReportProgress) -> None:
        elapsed_s = (self._clock.now_us() - self._started_us) / 1e6
        print(
            f"{self._deployment.name} {elapsed_s:6.1f} s  {progress.text}", flush=True
        )

    def _finish_run(self, _: ScriptDone) -> None:
        self._done.set()

    def _perform(self, effect: PerformStep) -> None:
        task = asyncio.get_running_loop().create_task(self._run_step(effect.step))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _step_handlers(self) -> dict[StepKind, StepHandler]:
        """Return the handler of each kind of step.

        A step of any other kind only waits.
        """
        return {
            StepKind.START_PLATFORM: self._start_platform,
            StepKind.APPLY: self._apply,
            StepKind.START_NODES: self._start_nodes,
            StepKind.START_LOAD: self._start_load,
            StepKind.MEASURE_IDLE: self._measure_idle,
            StepKind.KILL: self._kill,
            StepKind.DRAIN: self._drain,
            StepKind.RESTART_WAVE: self._faults.restart_wave,
            StepKind.PAUSE: self._faults.pause,
            StepKind.RESUME: self._faults.resume,
            StepKind.SET_FAULTS: self._faults.set_faults,
            StepKind.TRY_APPLY: self._try_apply,
            StepKind.CUT_STORE: self._cut_store,
            StepKind.HEAL_STORE: self._heal_store,
            StepKind.RESTART: self._restart,
            StepKind.STOP_LOAD: self._stop_load,
            StepKind.SHOW_TIMELINE: self._show_timeline,
            StepKind.COLLECT: self._collect,
            StepKind.STOP_PROCESSES: self._stop_processes,
        }

    async def _run_step(self, step: StepRow) -> None:
        handlers = self._step_handlers()
        try:
            if step.kind in handlers:
                await handlers[step.kind](step)
        except Exception as error:
            self._failure = error
            self._done.set()
            return
        self._runner.post(StepPerformed())

    @property
    def _store_address(self):
        return next(iter(self._files.store_addresses.values()))

    async def _start_platform(self, step: StepRow) -> None:
        self._platform = await start_module(
            "papayapost_testing.platform",
            f"--settings={self._files.platform_path}",
            log=self._files.folder / "platform.log",
        )
        async with asyncio.timeout(step.limit_ms / 1_000):
            while True:
                try:
                    await read_store_counts(self._store_address)
                    return
                except OSError:
                    await asyncio.sleep(0.05)

    async def _apply(self, step: StepRow) -> None:
        path = self._files.rules_path
        if self.tables.rollouts:
            path.write_text(path.read_text() + self._edits.pop(0) + "\n")
        process = await start_module(
            "papayapost_operator.main",
            "apply",
            str(path),
            f"--store={self._store_address}",
            log=self._files.folder / "papaya.log",
        )
        if await process.wait():
            raise RuntimeError(
                f"papaya apply ended with exit code {process.returncode}: "
                + (self._files.folder / "papaya.log").read_text()
            )
        with closing(HttpStoreClient(self._store_address)) as client:
            stored = await client.read("config", "rules")
        store_counts = await read_store_counts(self._store_address)
        version = RuleVersion(stored.version)
        applied_us = Micros(store_counts.written_us["/objects/config/rules"])
        self._runner.post(RulesApplied(version, applied_us, step.subject))

    async def _try_apply(self, step: StepRow) -> None:
        await self._faults.try_apply(step, self._edits.pop(0))

    async def _start_nodes(self, step: StepRow) -> None:
        self._nodes_started_us = self._clock.now_us()
        for plan in self._files.plans:
            await self._nodes.start(plan.node_id)

    async def _start_load(self, step: StepRow) -> None:
        for addresses in self._files.addresses.values():
            self._load.open_entry(addresses.caller)
        self._load.set_rate(_RATE_PER_S)

    async def _measure_idle(self, step: StepRow) -> None:
        before = {
            n: process_cpu_us(p.pid) for n, p in self._nodes.running_processes().items()
        }
        await asyncio.sleep(_IDLE_MEASUREMENT_S)
        for node_id, process in self._nodes.running_processes().items():
            used_s = (process_cpu_us(process.pid) - before[node_id]) / 1e6
            self.results.idle_cores[node_id] = used_s / _IDLE_MEASUREMENT_S

    async def _kill(self, step: StepRow) -> None:
        node_id = NodeId(step.subject)
        self._nodes.kill(node_id)
        self._load.close_entry(self._files.addresses[node_id].caller)

    async def _drain(self, step: StepRow) -> None:
        node_id = NodeId(step.subject)
        self._load.close_entry(self._files.addresses[node_id].caller)
        self._nodes.drain(node_id)

    async def _cut_store(self, step: StepRow) -> None:
        position = list(self._files.store_addresses).index(DataCentreId(step.subject))
        faults = FaultsRow(cut_listeners=frozenset([ListenerId(position)]))
        await set_faults(self._store_address, faults)

    async def _heal_store(self, step: StepRow) -> None:
        await set_faults(self._store_address, FaultsRow())

    async def _restart(self, step: StepRow) -> None:
        node_id = NodeId(step.subject)
        await self._nodes.start(node_id)
        self._load.open_entry(self._files.addresses[node_id].caller)

    async def _stop_load(self, step: StepRow) -> None:
        await self._load.finish()

    async def _show_timeline(self, step: StepRow) -> None:
        call_type = self._deployment.call_types[-1]
        running = self._nodes.running_processes()
        addresses = {n: a for n, a in self._files.addresses.items() if n in running}
        entry = next(iter(addresses.values())).caller
        call = await send_traced_call(
            entry, call_type.method, call_type.host, call_type.path
        )
        newest = self.tables.newest
        folder = self._files.folder
        nodes = ",".join(address.admin for address in addresses.values())
        for title, option in (
            ("call", f"--call={call}"),
            ("rule", f"--version={newest.version if newest else 0}"),
        ):
            page = f"--html={folder / title}.html"
            lines = await run_papaya("timeline", f"--nodes={nodes}", option, page)
            self.results.add_timeline(f"{title} {option.partition('=')[2]}", lines)

    async def _collect(self, step: StepRow) -> None:
        for node_id, process in self._nodes.running_processes().items():
            self.results.memory_bytes[node_id] = process.memory_info().rss
        running = self._nodes.running_processes()
        for node_id, addresses in self._files.addresses.items():
            if node_id in running:
                page = await read_text(addresses.admin, "/metrics")
                self.results.add_node_metrics(parse_node_metrics(node_id, page))
            runs_by_key = await read_json(addresses.backend, "/keys", dict[str, int])
            self.results.add_runs_by_key(runs_by_key)
        elapsed_us = self._clock.now_us() - self._nodes_started_us
        self.results.elapsed_s = elapsed_us / 1e6
        self.results.store_counts = await read_store_counts(self._store_address)

    async def _stop_processes(self, step: StepRow) -> None:
        await self._nodes.stop()
