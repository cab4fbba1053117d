"""Polls the health endpoint of the backend server."""

import asyncio
from collections.abc import Callable

import h11
import msgspec

from papayapost.ids import Address
from papayapost.states import BackendServerState
from papayapost.traffic import BackendServerPolled
from papayapost_node.foreign_json import decode_json
from papayapost_node.http.connection import ClientConnection
from papayapost_node.http.messages import HttpAnswer, HttpRequest

__all__ = ["HealthPoller", "state_of_answer"]

_POLL_TIMEOUT_S = 2.0

_MAX_BODY_BYTES = 64 << 10
"""Largest body of a health answer; a longer one is no answer."""


class _Health(msgspec.Struct):
    state: str | None = None
    is_ready: bool | None = None


class HealthPoller:
    """Polls the health endpoint and posts each change of the reported state.

    A poll without a whole answer changes nothing. The endpoint may be late or
    wrong, so its state is only a hint, and the outcomes of calls show whether
    the backend server can be reached.

    Parameters
    ----------
    address, path
        Address and path of the health endpoint.
    interval_ms
        Time in milliseconds from one poll's end to the next poll.
    post
        Queues an input message for the next tick.
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
        self._last_state: BackendServerState | None = None
        self._task: asyncio.Task | None = None

    def start(self) -> None:
        """Start to poll."""
        self._task = asyncio.get_running_loop().create_task(self._poll_forever())

    def close(self) -> None:
        """Stop polling."""
        if self._task is not None:
            self._task.cancel()

    async def _poll_forever(self) -> None:
        while True:
            state = await self._poll_once()
            if state is not None and state is not self._last_state:
                self._last_state = state
                self._post(BackendServerPolled(state))
            await asyncio.sleep(self._interval_s)

    async def _poll_once(self) -> BackendServerState | None:
        request = HttpRequest("GET", self._path, [(b"host", self._address.encode())])
        try:
            async with asyncio.timeout(_POLL_TIMEOUT_S):
                connection = await ClientConnection.open(self._address)
                try:
                    answer = await connection.call(request, _MAX_BODY_BYTES)
                    return state_of_answer(answer) if answer.is_whole else None
                finally:
                    connection.close()
        except (OSError, h11.RemoteProtocolError):
            return None


def state_of_answer(answer: HttpAnswer) -> BackendServerState | None:
    """Return the state that a health answer reports, or None.

    Status 503 means draining. Status 200 means the state that the JSON body
    names, other than gone; a body that names none means cold if `is_ready` is
    false in it, and ready otherwise. Any other status reports no state.

    Examples
    --------
    >>> state_of_answer(HttpAnswer(200, [], b'{"state": "draining"}')).name
    'DRAINING'
    >>> state_of_answer(HttpAnswer(200, [], b'{"is_ready": false}')).name
    'COLD'
    >>> state_of_answer(HttpAnswer(500)) is None
    True
    """
    if answer.status == 503:
        return BackendServerState.DRAINING
    if answer.status != 200:
        return None
    try:
        health = decode_json(answer.body, _Health)
    except ValueError:
        return BackendServerState.READY
    matching = [state for state in BackendServerState if state.value == health.state]
    if matching and matching[0] is not BackendServerState.GONE:
        return matching[0]
    return (
        BackendServerState.COLD
        if health.is_ready is False
        else (BackendServerState.READY)
    )
