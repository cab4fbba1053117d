"""Runs a world with access to the store until the world emits its result."""

import asyncio
from typing import TypeVar

from papayapost.errors import StoreUnavailable
from papayapost.ids import Address
from papayapost.kernel import World
from papayapost.storage import ReadObject, UpdateObject
from papayapost_node.clock import SystemClock
from papayapost_node.runner import WorldRunner
from papayapost_node.store import HttpStoreClient, StoreEffects
from papayapost_operator.settings import OperatorSettings

__all__ = ["run_world"]

E = TypeVar("E")

# Time limit of a command, as a multiple of the store timeout. The store
# requests of a command take far less, all retries included.
_MAX_STORE_TIMEOUTS = 60


def run_world(
    settings: OperatorSettings, world: World, message: object, finished: type[E]
) -> E:
    """Post a message to a world and return its effect of type `finished`.

    Raises
    ------
    StoreUnavailable
        If the world has not finished after 60 store timeouts.
    """
    return asyncio.run(_run(settings, world, message, finished))


async def _run(
    settings: OperatorSettings, world: World, message: object, finished: type[E]
) -> E:
    timeout_s = settings.store_timeout_ms / 1_000
    client = HttpStoreClient(Address(settings.store_address), timeout_s)
    done: asyncio.Future[E] = asyncio.get_running_loop().create_future()
    store_effects = StoreEffects(client, lambda result: runner.post(result))
    runner = WorldRunner(
        world,
        SystemClock(),
        {
            ReadObject: store_effects.read,
            UpdateObject: store_effects.update,
            finished: done.set_result,
        },
    )
    runner.post(message)
    try:
        async with asyncio.timeout(timeout_s * _MAX_STORE_TIMEOUTS):
            return await done
    except TimeoutError:
        raise StoreUnavailable(
            f"the store at {settings.store_address} took too long to answer; 'papaya "
            "status' shows what it holds once it answers"
        ) from None
    finally:
        runner.close()
        store_effects.close()
