"""Entry point of ``papayad``, which runs one node until a signal stops it."""

from papayapost_node import early_start  # noqa: F401

# isort: split
import asyncio
import gc
import resource
import signal
import sys
from collections.abc import Sequence
from pathlib import Path

from papayapost.errors import PapayapostError
from papayapost.findings import Finding
from papayapost_node.composition import Node, build_node
from papayapost_node.events import configure_logging
from papayapost_node.security import new_key_pair
from papayapost_node.settings import Settings, load_settings

__all__ = ["main"]

_EXIT_FAILURE = 1
_EXIT_USAGE = 2
_KEYGEN = "keygen"
_STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
_MAX_DESCRIPTORS = 16_384
_GC_THRESHOLD_ALLOCATIONS = 10_000


def run(settings: str) -> None:
    """Run the node that a settings file describes.

    The first SIGTERM or SIGINT drains the node, and a second one stops it at
    once. SIGHUP makes the node reload its keys file.

    Parameters
    ----------
    settings
        Path of the JSON settings file.
    """
    writer = configure_logging()
    adjusted: list[Finding] = []
    try:
        loaded = load_settings(Path(settings), adjusted.append)
    except PapayapostError as error:
        print(error, file=sys.stderr)
        sys.exit(_EXIT_USAGE)
    _raise_descriptor_limit()
    try:
        asyncio.run(_serve(loaded, Path(settings), adjusted))
    except PapayapostError as error:
        print(f"{loaded.node_id} cannot start: {error}", file=sys.stderr)
        sys.exit(_EXIT_FAILURE)
    finally:
        writer.flush()


def keygen() -> None:
    """Print a new CURVE key pair as JSON, for the keys file."""
    pair = new_key_pair()
    print(f'{{"public_key": "{pair.public_key}", "secret_key": "{pair.secret_key}"}}')


def _raise_descriptor_limit() -> None:
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    new_limit = (
        min(hard, _MAX_DESCRIPTORS)
        if hard != resource.RLIM_INFINITY
        else _MAX_DESCRIPTORS
    )
    if soft < new_limit:
        resource.setrlimit(resource.RLIMIT_NOFILE, (new_limit, hard))


async def _serve(
    settings: Settings, path: Path, adjusted: Sequence[Finding] = ()
) -> None:
    loop = asyncio.get_running_loop()
    drain_requested, stop_requested = asyncio.Event(), asyncio.Event()

    def on_stop_signal() -> None:
        if drain_requested.is_set():
            stop_requested.set()
        drain_requested.set()

    for signal_number in _STOP_SIGNALS:
        loop.add_signal_handler(signal_number, on_stop_signal)
    node = await build_node(settings)
    try:
        await node.start()
        for finding in adjusted:
            node.note_adjusted_setting(finding)
        _tune_garbage_collector()
        loop.add_signal_handler(signal.SIGHUP, node.reload, path)
        await drain_requested.wait()
        await _drain_until_stopped(node, stop_requested)
        if stop_requested.is_set():
            node.note_stopped_at_once()
    finally:
        await node.close()
        # A further signal must not change the exit code of a stopped node.
        for signal_number in _STOP_SIGNALS:
            loop.remove_signal_handler(signal_number)
            signal.signal(signal_number, signal.SIG_IGN)


def _tune_garbage_collector() -> None:
    """Make garbage collections rare and exempt the objects made at start.

    These objects live as long as the process. Calls create no reference
    cycles, so a collection finds little to free.
    """
    gc.freeze()
    gc.set_threshold(_GC_THRESHOLD_ALLOCATIONS, *gc.get_threshold()[1:])


async def _drain_until_stopped(node: Node, stop_requested: asyncio.Event) -> None:
    tasks = [
        asyncio.create_task(node.drain()),
        asyncio.create_task(stop_requested.wait()),
    ]
    await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    for task in tasks:
        task.cancel()


def main() -> None:
    """Run ``papayad`` with the arguments of the command line."""
    # Imported here, because a node on the platform starts without it.
    import fire

    if sys.argv[1:2] == [_KEYGEN]:
        fire.Fire(keygen, command=sys.argv[2:], name=f"papayad {_KEYGEN}")
    else:
        fire.Fire(run, name="papayad")


if __name__ == "__main__":
    main()
