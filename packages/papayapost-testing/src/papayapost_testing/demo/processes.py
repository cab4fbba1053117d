"""Starts and signals the processes of the demo and reads their logs."""

import asyncio
import signal
import sys
from collections.abc import Callable
from pathlib import Path

import msgspec
import psutil

from papayapost.ids import NodeId, RuleVersion
from papayapost.observe import Event
from papayapost_node.clock import SystemClock
from papayapost_testing.demo.messages import (
    NodeActivatedRules,
    NodeChanged,
    NodeJoined,
    OfferedToDrainingNode,
)
from papayapost_testing.demo.tables import ProcessState

__all__ = [
    "NodeProcesses",
    "run_papaya",
    "run_papaya_unchecked",
    "start_module",
    "stop_process",
]

_STOP_TIMEOUT_S = 10


async def start_module(module: str, *arguments: str, log: Path):
    """Start ``python -m module`` and append its output to a file."""
    with log.open("ab") as output:
        return await asyncio.create_subprocess_exec(
            sys.executable, "-m", module, *arguments, stdout=output, stderr=output
        )


async def run_papaya_unchecked(*arguments: str) -> bytes:
    """Run ``papaya`` and return its output, whatever its exit code."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "papayapost_operator.main",
        *arguments,
        stdout=asyncio.subprocess.PIPE,
    )
    output, _ = await process.communicate()
    return output


async def run_papaya(*arguments: str) -> list[str]:
    """Run ``papaya`` and return the lines that it printed.

    Raises
    ------
    RuntimeError
        If the exit code is not 0.
    """
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "papayapost_operator.main",
        *arguments,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
    )
    output, _ = await process.communicate()
    if process.returncode:
        raise RuntimeError(
            f"papaya {arguments[0]} exited with {process.returncode}: {output.decode()}"
        )
    return output.decode().splitlines()


async def stop_process(process: asyncio.subprocess.Process) -> None:
    """Terminate a process, and kill it if it does not end within 10 s."""
    if process.returncode is not None:
        return
    process.terminate()
    try:
        async with asyncio.timeout(_STOP_TIMEOUT_S):
            await process.wait()
    except TimeoutError:
        process.kill()
        await process.wait()


class _LoggedEvent(msgspec.Struct):
    number: int = 0
    version: int = 0


class NodeProcesses:
    """The papayad processes of a deployment.

    Parameters
    ----------
    folder
        Folder of the settings files and logs, one of each for a node.
    post
        Receives changes of processes and logged events as input messages of
        the director.
    module
        Python module that each node's process runs.
    """

    def __init__(
        self,
        folder: Path,
        post: Callable[[object], None],
        module: str = "papayapost_node.main",
    ):
        self._module = module
        self._folder = folder
        self._post = post
        self._clock = SystemClock()
        self._decoder = msgspec.json.Decoder(_LoggedEvent)
        self._processes: dict[NodeId, asyncio.subprocess.Process] = {}
        self._log_tasks: set[asyncio.Task] = set()

    async def start(self, node_id: NodeId) -> None:
        """Start a node with the settings file that is named after it."""
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            self._module,
            f"--settings={self._folder / node_id}.json",
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        self._processes[node_id] = process
        self._post(NodeChanged(node_id, ProcessState.RUNNING))
        task = asyncio.get_running_loop().create_task(
            self._follow_output(node_id, process)
        )
        self._log_tasks.add(task)
        task.add_done_callback(self._log_tasks.discard)

    def kill(self, node_id: NodeId) -> None:
        """Kill a node's process with SIGKILL."""
        self._post(NodeChanged(node_id, ProcessState.KILLED))
        self._processes[node_id].kill()

    def drain(self, node_id: NodeId) -> None:
        """Ask a node to drain, with SIGTERM."""
        self._post(NodeChanged(node_id, ProcessState.DRAINING))
        self._processes[node_id].send_signal(signal.SIGTERM)

    def pause(self, node_id: NodeId) -> None:
        """Pause a node's process with SIGSTOP."""
        self._post(NodeChanged(node_id, ProcessState.PAUSED))
        self._processes[node_id].send_signal(signal.SIGSTOP)

    def resume(self, node_id: NodeId) -> None:
        """Resume a paused process with SIGCONT."""
        self._processes[node_id].send_signal(signal.SIGCONT)
        self._post(NodeChanged(node_id, ProcessState.RUNNING))

    async def wait(self, node_id: NodeId) -> None:
        """Wait until a node's process has ended."""
        await self._processes[node_id].wait()

    def running_processes(self) -> dict[NodeId, psutil.Process]:
        """Return the processes that still run.

        The director reads their CPU time and memory.
        """
        return {
            node_id: psutil.Process(process.pid)
            for node_id, process in self._processes.items()
            if process.returncode is None
        }

    async def stop(self) -> None:
        """Drain all nodes that still run, and wait until they have ended."""
        for node_id, process in self._processes.items():
            if process.returncode is None:
                self._post(NodeChanged(node_id, ProcessState.DRAINING))
                # A paused process handles SIGTERM only after it was resumed.
                process.send_signal(signal.SIGCONT)
        await asyncio.gather(*map(stop_process, self._processes.values()))
        if self._log_tasks:
            await asyncio.wait(self._log_tasks)

    async def _follow_output(
        self, node_id: NodeId, process: asyncio.subprocess.Process
    ) -> None:
        assert process.stdout is not None
        with (self._folder / f"{node_id}.log").open("ab") as log:
            async for line in process.stdout:
                log.write(line)
                log.flush()
                self._read_line(node_id, line)
        exit_code = await process.wait()
        self._post(NodeChanged(node_id, ProcessState.EXITED, exit_code))

    def _read_line(self, node_id: NodeId, line: bytes) -> None:
        try:
            event = self._decoder.decode(line)
        except msgspec.MsgspecError:
            return
        if event.number == Event.RULES_IN_FORCE.value:
            version = RuleVersion(event.version)
            self._post(NodeActivatedRules(node_id, version, self._clock.now_us()))
        elif event.number == Event.PARENT_FOUND.value:
            self._post(NodeJoined(node_id, self._clock.now_us()))
        elif event.number == Event.OFFER_TO_DRAINING.value:
            self._post(OfferedToDrainingNode(node_id))
