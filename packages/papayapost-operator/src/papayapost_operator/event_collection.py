"""Collects the events of nodes and of saved files for the time line."""

import asyncio
from collections.abc import Sequence
from pathlib import Path

from papayapost.ids import Address, Micros
from papayapost.timeline import (
    CollectEvents,
    EventsCollected,
    ReadSource,
    SourceAnswered,
    SourceFailed,
    build_collection,
)
from papayapost_node.admin import TimelineReport
from papayapost_node.clock import SystemClock
from papayapost_node.foreign_json import decode_json
from papayapost_node.runner import EffectHandler, WorldRunner
from papayapost_operator.nodes import PageUnavailable, read_page

__all__ = ["collect_events"]

# Reads of pages time out first, so that a gap has the reason of its read.
_TIMEOUT_MARGIN_US = 500_000


def collect_events(
    addresses: Sequence[Address], files: Sequence[str], timeout_ms: int
) -> EventsCollected:
    """Return the events of all sources, and a gap for each one that failed.

    Parameters
    ----------
    addresses
        Admin addresses of nodes.
    files
        Paths of saved time line reports.
    timeout_ms
        Time in ms that each node has to answer.
    """
    return asyncio.run(_collect_events(addresses, files, timeout_ms))


async def _collect_events(
    addresses: Sequence[Address], files: Sequence[str], timeout_ms: int
) -> EventsCollected:
    collected: asyncio.Future[EventsCollected] = (
        asyncio.get_running_loop().create_future()
    )
    tasks: set[asyncio.Task] = set()

    def start_read(effect: ReadSource) -> None:
        is_file = effect.source in files
        read = _read_source(effect.source, is_file, timeout_ms / 1_000)
        task = asyncio.get_running_loop().create_task(read)
        tasks.add(task)
        task.add_done_callback(lambda finished: runner.post(finished.result()))

    handlers: dict[type, EffectHandler] = {
        ReadSource: start_read,
        EventsCollected: collected.set_result,
    }
    runner = WorldRunner(build_collection(), SystemClock(), handlers)
    timeout_us = Micros(timeout_ms * 1_000 + _TIMEOUT_MARGIN_US)
    runner.post(CollectEvents((*addresses, *files), timeout_us))
    try:
        return await collected
    finally:
        runner.close()


async def _read_source(
    source: str, is_file: bool, timeout_s: float
) -> SourceAnswered | SourceFailed:
    try:
        if is_file:
            body = Path(source).read_bytes()
        else:
            body = await read_page(Address(source), "/timeline", timeout_s)
        report = decode_json(body, TimelineReport)
    except (PageUnavailable, OSError, ValueError) as error:
        return SourceFailed(source, str(error))
    return SourceAnswered(
        source,
        report.node_id,
        report.data_centre,
        report.dropped,
        tuple(report.rows),
    )
