"""Tests connections that a server accepts while it stops accepting."""

import asyncio
import gc
import socket

import pytest

from papayapost_node.addresses import split_address
from papayapost_node.http import HttpLimits, StreamingServer
from papayapost_node.http.exchange import RequestHandler
from papayapost_testing.ports import free_addresses

# The longest time in s for which a caller may be left without an answer.
LOSS_SLACK_S = 0.2


class SilentHandler(RequestHandler):
    def request_begun(self, exchange):
        pass

    def body_received(self, exchange, data):
        pass

    def body_ended(self, exchange, trailers):
        pass

    def answer_writable(self, exchange):
        pass

    def caller_gone(self, exchange):
        pass


@pytest.fixture
def _node_garbage_collector():
    # As in a node's process, which collects garbage rarely.
    gc.collect()
    gc.disable()
    yield
    gc.enable()


def test_all_connections_that_wait_are_accepted_before_the_server_stops():
    async def main():
        (address,) = free_addresses(1)
        server = StreamingServer(address, SilentHandler(), HttpLimits())
        await server.start()
        callers = [socket.create_connection(split_address(address)) for _ in range(100)]
        server.stop_accepting()
        await asyncio.sleep(LOSS_SLACK_S)
        for caller in callers:
            caller.setblocking(False)
            with pytest.raises(BlockingIOError):
                caller.recv(1)
            caller.close()
        await server.close()

    asyncio.run(main())


# Passes of the event loop between the caller's connection and the stop.
@pytest.mark.parametrize("passes", range(6))
@pytest.mark.usefixtures("_node_garbage_collector")
def test_a_connection_is_closed_when_the_server_stops_accepting(passes):
    async def main():
        (address,) = free_addresses(1)
        server = StreamingServer(address, SilentHandler(), HttpLimits())
        await server.start()
        with socket.create_connection(split_address(address)) as caller:
            for _ in range(passes):
                await asyncio.sleep(0)
            # The steps with which a drain ends.
            server.stop_accepting()
            server.close_idle()
            await server.wait_until_empty(LOSS_SLACK_S)
            caller.setblocking(False)
            await asyncio.sleep(LOSS_SLACK_S)
            try:
                assert caller.recv(1) == b""
            except ConnectionResetError:
                pass
            except BlockingIOError:
                pytest.fail("the connection stays open")
            finally:
                await server.close()

    asyncio.run(main())
