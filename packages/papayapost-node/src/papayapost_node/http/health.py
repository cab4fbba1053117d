"""Asks the backend server how it is, at a low rate and as a hint only."""

import asyncio
from collections.abc import Callable

import h11
import msgspec

from papayapost.ids import Address
from papayapost.states import BackendServerState
from papayapost.traffic import OwnBackendServerSeen
from papayapost_node.http.connection import ClientConnection
from papayapost_node.http.messages import HttpAnswer, HttpRequest

__all__ = ["HealthWatch", "state_in"]

_TIMEOUT_S = 2.0


class _Health(msgspec.Struct):
    state: str | None = None
    is_ready: bool | None = None


class HealthWatch:
    """Posts what the backend server says whenever that has changed.

    No answer says nothing: the endpoint may lag or mislead, and calls show
    soon enough whether the backend server is there.

    Parameters
    ----------
    post
        Hands a message to the next tick.
    """

    def __init__(
        self,
        address: Address,
        path: str,
        interval_ms: int,
        post: Callable[[object], None],
    ):
        self._address = address
        self._path = path
        self._interval_s = interval_ms / 1_000
        self._post = post
        self._seen: BackendServerState | None = None
        self._task: asyncio.Task | None = None

    def start(self) -> None:
        """Begin to ask."""
        self._task = asyncio.get_running_loop().create_task(self._ask_for_ever())

    def close(self) -> None:
        """Ask no more."""
        if self._task is not None:
            self._task.cancel()

    async def _ask_for_ever(self) -> None:
        while True:
            state = await self._ask()
            if state is not None and state is not self._seen:
                self._seen = state
                self._post(OwnBackendServerSeen(state))
            await asyncio.sleep(self._interval_s)

    async def _ask(self) -> BackendServerState | None:
        request = HttpRequest("GET", self._path, [(b"host", self._address.encode())])
        try:
            async with asyncio.timeout(_TIMEOUT_S):
                connection = await ClientConnection.open(self._address)
                try:
                    return state_in(await connection.call(request))
                finally:
                    connection.close()
        except (OSError, h11.RemoteProtocolError):
            return None


def state_in(answer: HttpAnswer) -> BackendServerState | None:
    """Return the state that a health answer tells, if it tells one.

    Examples
    --------
    >>> state_in(HttpAnswer(200, [], b'{"state": "draining"}')).name
    'DRAINING'
    >>> state_in(HttpAnswer(200, [], b'{"is_ready": false}')).name
    'COLD'
    >>> state_in(HttpAnswer(500)) is None
    True
    """
    if answer.status == 503:
        return BackendServerState.DRAINING
    if answer.status != 200:
        return None
    try:
        health = msgspec.json.decode(answer.body, type=_Health)
    except msgspec.DecodeError:
        return BackendServerState.READY
    told = [state for state in BackendServerState if state.value == health.state]
    if told and told[0] is not BackendServerState.GONE:
        return told[0]
    return (
        BackendServerState.COLD
        if health.is_ready is False
        else (BackendServerState.READY)
    )
