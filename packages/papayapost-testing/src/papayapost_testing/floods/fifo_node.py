"""Runs a node with a single FIFO queue for attempts of all ranks.

``python -m papayapost_testing.floods.fifo_node --settings FILE`` runs until
SIGTERM. The flood benchmark compares the ranked queues with this baseline.
"""

import asyncio
import signal
from pathlib import Path

import fire

from papayapost.traffic.owner.queues import FifoQueue
from papayapost_node.composition import build_node
from papayapost_node.events import configure_logging
from papayapost_node.settings import Settings, load_settings

__all__ = ["run"]


def run(settings: str) -> None:
    """Run a node until SIGTERM.

    Parameters
    ----------
    settings
        Path of the node's JSON settings file.
    """
    configure_logging()
    asyncio.run(_serve(load_settings(Path(settings))))


async def _serve(settings: Settings) -> None:
    stop = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop.set)
    backend = settings.backend_server
    slots = (backend.slots or 0) if backend else 0
    node = await build_node(settings, queue=FifoQueue(slots))
    try:
        await node.start()
        await stop.wait()
    finally:
        await node.close()


if __name__ == "__main__":
    fire.Fire(run, name="fifo_node")
