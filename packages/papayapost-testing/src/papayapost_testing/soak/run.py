"""Composes and runs the soak of one seed."""

import asyncio
import contextlib
from dataclasses import dataclass
from pathlib import Path
from random import Random

from papayapost.ids import Micros
from papayapost.kernel import System, World
from papayapost_node.clock import SystemClock
from papayapost_node.runner import EffectHandler, WorldRunner
from papayapost_testing.soak.callers import CALLER_KINDS
from papayapost_testing.soak.checks import CHECKS
from papayapost_testing.soak.connection import Entry
from papayapost_testing.soak.mesh import Mesh
from papayapost_testing.soak.messages import (
    ChangeOtherObjects,
    ChangeSettings,
    CommandServer,
    CommandStore,
    FaultsBegun,
    FaultsEnded,
    RecoveryOver,
    RestartDue,
    RestoreStore,
    SetLink,
    SetServerMode,
    SignalNode,
    StartNode,
    StopNodes,
    StoreCommand,
    WriteRules,
)
from papayapost_testing.soak.plans import draw_plan, draw_profile
from papayapost_testing.soak.report import SoakReport, write_report
from papayapost_testing.soak.rows import NEVER, Link, NodeRow
from papayapost_testing.soak.rules import first_version
from papayapost_testing.soak.systems import AdvanceFaults, RecordCalls, TrackNodes
from papayapost_testing.soak.tables import SoakTables
from papayapost_testing.soak.wire import Wire

__all__ = ["Soak", "SoakSize"]

_START_LIMIT_S = 15.0
_START_LIMIT_PER_NODE_S = 0.6
_START_PAUSE_S = 0.02
_FULL_PACE_NODES = 10
_EXIT_LIMIT_S = 8.0
_LAG_STEP_S = 0.02
_NOTED_LAG_S = 0.01
_POLL_S = 0.05
_DIRECT_SHARE = 0.5
_STATUSES = {
    StoreCommand.SERVE: 0,
    StoreCommand.REFUSE: 503,
    StoreCommand.LIMIT: 429,
}


@dataclass(slots=True)
class SoakSize:
    """How large a run is.

    Parameters
    ----------
    seconds
        Time in s in which faults begin.
    """

    nodes: int
    seconds: float


class Soak:
    """One seeded run over real processes.

    Parameters
    ----------
    folder
        An empty folder for settings files, logs and the report.
    """

    def __init__(self, seed: int, size: SoakSize, folder: Path, wire: Wire):
        self._seed = seed
        self._size = size
        self._folder = folder
        self._wire = wire
        self._clock = SystemClock()
        self._random = Random(seed)
        self.tables = SoakTables()
        self._timeline = (folder / "timeline.txt").open("w")
        self._faults_ended, self._recovery_over = asyncio.Event(), asyncio.Event()
        world = World(self._systems(), Random(seed))
        self._runner = WorldRunner(world, self._clock, self._handlers())
        self._mesh = Mesh(size.nodes, folder, wire, self._random, self._runner.post)
        for place in self._mesh.places.values():
            row = NodeRow(place.node_id, place.service)
            self.tables.nodes.put(place.node_id, row)
        self._lag_s = 0.0

    async def run(self) -> SoakReport:
        """Run the seed and end all that it has started.

        Raises
        ------
        Exception
            If the soak itself fails.
        """
        async with contextlib.AsyncExitStack() as stack:
            stack.callback(self._timeline.close)
            stack.callback(self._runner.close)
            stack.push_async_callback(self._mesh.close)
            await self._mesh.start()
            version = first_version()
            self.tables.versions.put(version.version, version)
            self._write_rules(WriteRules(version))
            async with asyncio.TaskGroup() as background:
                tasks = [background.create_task(self._measure_lag())]
                for row in self.tables.nodes:
                    self._runner.post(RestartDue(row.node_id))
                    await asyncio.sleep(_START_PAUSE_S)
                for coroutine in self._callers():
                    tasks.append(background.create_task(coroutine))
                await self._go_through_faults()
                for task in tasks:
                    task.cancel()
            self._runner.post(StopNodes())
            await asyncio.sleep(0)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_EXIT_LIMIT_S):
                    await self._mesh.wait_for_exits()
        return self._report()

    def _systems(self) -> list[System]:
        plan = draw_plan(self._seed, self._size.seconds)
        return [
            RecordCalls(self.tables),
            TrackNodes(self.tables),
            AdvanceFaults(self.tables, plan),
            *(check(self.tables) for check in CHECKS),
        ]

    def _handlers(self) -> dict[type, EffectHandler]:
        handlers: dict[type, EffectHandler] = {
            StartNode: lambda effect: self._mesh.start_node(effect),
            SignalNode: lambda effect: self._mesh.send_signal(
                effect.node_id, effect.signal_number
            ),
            ChangeSettings: lambda effect: self._mesh.change_settings(effect),
            SetLink: self._set_link,
            WriteRules: self._write_rules,
            CommandServer: self._command_server,
            SetServerMode: self._set_server_mode,
            CommandStore: self._command_store,
            ChangeOtherObjects: lambda effect: self._mesh.store.change_other_objects(
                effect.count
            ),
            RestoreStore: lambda effect: self._mesh.store.come_back(effect.skipped),
        }
        logged = {kind: self._logged(handlers[kind]) for kind in handlers}
        logged[FaultsEnded] = lambda effect: self._faults_ended.set()
        logged[RecoveryOver] = lambda effect: self._recovery_over.set()
        return logged

    def _logged(self, handler: EffectHandler) -> EffectHandler:
        def carry_out(effect) -> None:
            now_s = self._clock.now_us() / 1e6
            self._timeline.write(f"{now_s:.3f} {effect!r}\n")
            handler(effect)

        return carry_out

    def _set_link(self, effect: SetLink) -> None:
        proxy = self._mesh.proxies[effect.node_id, effect.link]
        proxy.set_mode(effect.mode, effect.delay_ms)

    def _write_rules(self, effect: WriteRules) -> None:
        self._mesh.store.write_rules(effect.version)
        # Bounds of a version that is written again count from the first time.
        if effect.version.acked_us == NEVER:
            effect.version.acked_us = self._clock.now_us()

    def _command_server(self, effect: CommandServer) -> None:
        self._mesh.servers[effect.node_id].command(effect.command, effect.away_ms)

    def _set_server_mode(self, effect: SetServerMode) -> None:
        self._mesh.servers[effect.node_id].mode = effect.mode

    def _command_store(self, effect: CommandStore) -> None:
        store = self._mesh.store
        match effect.command:
            case StoreCommand.FORGET:
                store.forget_history()
            case StoreCommand.COPY:
                store.take_copy()
            case StoreCommand.LEAVE:
                store.go_away()
            case _:
                store.forced_status = _STATUSES[effect.command]

    def _callers(self):
        pace = max(1.0, self._size.nodes / _FULL_PACE_NODES)
        for node_id, addresses in self._mesh.entries.items():
            for kind in CALLER_KINDS:
                # Half of the callers connect through the node's proxy.
                is_direct = self._random.random() < _DIRECT_SHARE
                proxy = None if is_direct else self._mesh.proxies[node_id, Link.NODE]
                entry = Entry(node_id, addresses[0 if is_direct else 1], proxy)
                random = Random(self._random.getrandbits(32))
                post = self._runner.post
                yield kind(entry, self._wire, self.tables, random, pace, post).run()

    async def _go_through_faults(self) -> None:
        limit_s = _START_LIMIT_S + _START_LIMIT_PER_NODE_S * self._size.nodes
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(limit_s):
                await self._wait_until_served(0)
        self._runner.post(FaultsBegun())
        await self._faults_ended.wait()
        served = asyncio.create_task(
            self._wait_until_served(self.tables.faults_ended_us)
        )
        over = asyncio.create_task(self._recovery_over.wait())
        await asyncio.wait((served, over), return_when=asyncio.FIRST_COMPLETED)
        for task in (served, over):
            task.cancel()

    async def _wait_until_served(self, since_us: int) -> None:
        """Wait until each node has served a call sent since a time."""
        while any(node.served_us < since_us for node in self.tables.nodes):
            await asyncio.sleep(_POLL_S)

    async def _measure_lag(self) -> None:
        """Measure how late the soak itself wakes up."""
        loop = asyncio.get_running_loop()
        while True:
            due_s = loop.time() + _LAG_STEP_S
            await asyncio.sleep(_LAG_STEP_S)
            late_s = loop.time() - due_s
            self._lag_s = max(self._lag_s, late_s)
            if late_s > _NOTED_LAG_S:
                now_us = self._clock.now_us()
                self.tables.lags.append((Micros(now_us - int(late_s * 1e6)), now_us))

    def _report(self) -> SoakReport:
        report = SoakReport(
            self._seed, draw_profile(self._seed), self.tables, self._lag_s
        )
        write_report(report, self._folder)
        return report
