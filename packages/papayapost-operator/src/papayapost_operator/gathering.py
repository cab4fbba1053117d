"""Reads time line sources: nodes by address, files by path."""

import asyncio
from collections.abc import Sequence
from pathlib import Path

import msgspec

from papayapost.ids import Address, Micros
from papayapost.timeline import (
    AskSource,
    GatherAsked,
    GatherDone,
    SourceAnswered,
    SourceFailed,
    build_gathering,
)
from papayapost_node.admin import TimelineReport
from papayapost_node.clock import SystemClock
from papayapost_node.runner import EffectHandler, WorldRunner
from papayapost_operator.nodes import NodeSilent, read_page

__all__ = ["gather"]

_SPARE_US = 500_000


def gather(
    addresses: Sequence[Address], files: Sequence[str], timeout_ms: int
) -> GatherDone:
    """Return the rows of all sources; a silent one is a gap.

    Parameters
    ----------
    addresses
        Admin addresses of nodes.
    files
        Paths of saved time line reports.
    timeout_ms
        Time that each node has to answer.
    """
    return asyncio.run(_gather(addresses, files, timeout_ms))


async def _gather(
    addresses: Sequence[Address], files: Sequence[str], timeout_ms: int
) -> GatherDone:
    done: asyncio.Future[GatherDone] = asyncio.get_running_loop().create_future()
    tasks: set[asyncio.Task] = set()

    def ask(effect: AskSource) -> None:
        is_file = effect.source in files
        work = _read(effect.source, is_file, timeout_ms / 1_000)
        task = asyncio.get_running_loop().create_task(work)
        tasks.add(task)
        task.add_done_callback(lambda ended: runner.post(ended.result()))

    handlers: dict[type, EffectHandler] = {
        AskSource: ask,
        GatherDone: done.set_result,
    }
    runner = WorldRunner(build_gathering(), SystemClock(), handlers)
    timeout_us = Micros(timeout_ms * 1_000 + _SPARE_US)
    runner.post(GatherAsked((*addresses, *files), timeout_us))
    try:
        return await done
    finally:
        runner.close()


async def _read(
    source: str, is_file: bool, timeout_s: float
) -> SourceAnswered | SourceFailed:
    try:
        if is_file:
            body = Path(source).read_bytes()
        else:
            body = await read_page(Address(source), "/timeline", timeout_s)
        report = msgspec.json.decode(body, type=TimelineReport)
    except (NodeSilent, OSError, msgspec.MsgspecError) as error:
        return SourceFailed(source, str(error))
    return SourceAnswered(
        source,
        report.node_id,
        report.data_centre,
        report.dropped,
        tuple(report.rows),
    )
