"""Runs the stand-ins of one deployment in a separate process.

``python -m papayapost_testing.platform --settings FILE`` runs until SIGTERM.
"""

import asyncio
import signal
from pathlib import Path

import fire

from papayapost_testing.backend import BackendServerStandIn
from papayapost_testing.platform_settings import (
    PlatformSettings,
    load_platform_settings,
)
from papayapost_testing.store import ObjectStoreStandIn

__all__ = ["run"]


def run(settings: str) -> None:
    """Run the object store and backend server stand-ins until SIGTERM.

    Parameters
    ----------
    settings
        Path of the JSON settings file.
    """
    asyncio.run(_serve(load_platform_settings(Path(settings))))


async def _serve(settings: PlatformSettings) -> None:
    stop = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop.set)
    store = ObjectStoreStandIn(*settings.store_addresses)
    backends = [
        BackendServerStandIn(item.address, item.behaviour)
        for item in settings.backend_servers
    ]
    await store.start()
    for backend in backends:
        await backend.start()
    await stop.wait()
    await store.close()
    for backend in backends:
        await backend.close()


if __name__ == "__main__":
    fire.Fire(run, name="platform")
