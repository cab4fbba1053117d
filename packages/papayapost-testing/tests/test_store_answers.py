import asyncio

import pytest

from papayapost.errors import StoreUnavailable
from papayapost_node.http import HttpAnswer, WholeRequestServer
from papayapost_node.store import HttpStoreClient
from papayapost_testing.ports import free_addresses


def read_from_store_answering(answer):
    async def run():
        (address,) = free_addresses(1)
        server = WholeRequestServer(address, lambda call: call.answer(answer))
        await server.start()
        client = HttpStoreClient(address)
        try:
            return await client.read("config", "rules")
        finally:
            client.close()
            await server.close()

    return asyncio.run(run())


def test_a_forbidden_read_is_not_taken_for_a_missing_object():
    with pytest.raises(StoreUnavailable, match="403"):
        read_from_store_answering(HttpAnswer(403))


def test_a_non_numeric_etag_raises_store_unavailable():
    answer = HttpAnswer(200, [(b"etag", b'"W/abc"')], b"text")
    with pytest.raises(StoreUnavailable, match="no number"):
        read_from_store_answering(answer)


def test_a_missing_object_has_version_0():
    assert read_from_store_answering(HttpAnswer(404)).version == 0
