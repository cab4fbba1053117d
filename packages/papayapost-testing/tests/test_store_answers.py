import asyncio

import pytest

from papayapost.errors import StoreUnavailable
from papayapost_node.http import HttpAnswer, HttpServer
from papayapost_node.store import HttpStoreClient
from papayapost_testing.ports import free_addresses


def read_from_store_that_answers(answer):
    async def run():
        (address,) = free_addresses(1)
        server = HttpServer(address, lambda call: call.answer(answer))
        await server.start()
        client = HttpStoreClient(address)
        try:
            return await client.read("config", "rules")
        finally:
            client.close()
            await server.close()

    return asyncio.run(run())


def test_a_store_that_forbids_a_read_is_not_taken_for_one_without_rules():
    with pytest.raises(StoreUnavailable, match="403"):
        read_from_store_that_answers(HttpAnswer(403))


def test_a_version_that_is_no_number_is_a_coded_error():
    answer = HttpAnswer(200, [(b"etag", b'"W/abc"')], b"text")
    with pytest.raises(StoreUnavailable, match="no number"):
        read_from_store_that_answers(answer)


def test_a_missing_object_is_version_0():
    assert read_from_store_that_answers(HttpAnswer(404)).version == 0
