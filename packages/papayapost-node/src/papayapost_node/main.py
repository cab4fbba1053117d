"""papayad: runs one node until SIGTERM or SIGINT."""

import asyncio
import signal
import sys
from pathlib import Path

import fire

from papayapost.errors import PapayapostError
from papayapost_node.composition import build_node
from papayapost_node.events import configure_logging
from papayapost_node.settings import Settings, load_settings

__all__ = ["main"]

_EXIT_FAILURE = 1
_EXIT_USAGE = 2


def run(settings: str) -> None:
    """Run the node of a settings file until SIGTERM.

    Parameters
    ----------
    settings
        Path of the JSON settings file.
    """
    configure_logging()
    try:
        loaded = load_settings(Path(settings))
    except PapayapostError as error:
        print(error, file=sys.stderr)
        sys.exit(_EXIT_USAGE)
    try:
        asyncio.run(_serve(loaded))
    except OSError as error:
        print(f"{loaded.node_id} cannot start: {error}", file=sys.stderr)
        sys.exit(_EXIT_FAILURE)


async def _serve(settings: Settings) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    node = await build_node(settings)
    await node.start()
    await stop.wait()
    await node.close()


def main() -> None:
    """Entry point of ``papayad``."""
    fire.Fire(run, name="papayad")


if __name__ == "__main__":
    main()
