import asyncio
from random import Random

import pytest

from papayapost.errors import StoreConflict, StoreUnavailable
from papayapost.ids import Address, Micros
from papayapost.kernel import World
from papayapost_node.http import ClientConnection, HttpAnswer, HttpRequest
from papayapost_node.store import HttpStoreClient
from papayapost_testing import (
    BackendServerStandIn,
    BehaviourRow,
    FaultsRow,
    ObjectStoreStandIn,
)
from papayapost_testing.ports import free_addresses
from papayapost_testing.store import ListenerId
from papayapost_testing.store.messages import ReadRequested, UpdateRequested
from papayapost_testing.store.systems import AnswerReads, ApplyUpdates, SendReplies
from papayapost_testing.store.tables import RequestNumber, StoreTables


def run_with_store(scenario):
    async def run():
        addresses = free_addresses(2)
        store = ObjectStoreStandIn(*addresses)
        await store.start()
        try:
            return await scenario(store, *map(HttpStoreClient, addresses))
        finally:
            await store.close()

    return asyncio.run(run())


def test_the_second_of_two_updates_of_the_same_version_is_refused():
    async def scenario(store, client, _):
        first = await client.update("config", "rules", b"a", 0)
        with pytest.raises(StoreConflict) as conflict:
            await client.update("config", "rules", b"b", 0)
        assert conflict.value.current_version == first
        assert (await client.read("config", "rules")).value == b"a"

    run_with_store(scenario)


def test_a_waiting_watch_is_answered_by_the_next_update():
    tables = StoreTables()
    systems = [ApplyUpdates(tables), AnswerReads(tables), SendReplies(tables)]
    world = World(systems, Random(0))
    update, watch, path = RequestNumber(1), RequestNumber(2), "/objects/a/b"
    watch_request = ReadRequested(watch, path, known_version=0, wait_ms=30_000)
    assert world.tick(Micros(0), [watch_request]) == []
    first, second = world.tick(Micros(1), [UpdateRequested(update, path, 0, b"x")])
    assert (first.number, first.version) == (update, 1)
    assert (second.number, second.version, second.value) == (watch, 1, b"x")


def test_an_update_takes_effect_although_its_reply_is_lost():
    async def scenario(store, client, _):
        store.set_faults(FaultsRow(lost_replies=1))
        with pytest.raises(StoreUnavailable):
            await client.update("config", "rules", b"a", 0)
        assert (await client.read("config", "rules")).value == b"a"

    run_with_store(scenario)


def test_a_store_with_stale_reads_answers_the_previous_version():
    async def scenario(store, client, _):
        first = await client.update("config", "rules", b"a", 0)
        await client.update("config", "rules", b"b", first)
        store.set_faults(FaultsRow(is_stale=True))
        seen = await client.read("config", "rules")
        assert (seen.version, seen.value) == (first, b"a")

    run_with_store(scenario)


def test_a_listener_cut_off_answers_nothing_while_another_one_serves():
    async def scenario(store, client, other):
        store.set_faults(FaultsRow(cut_listeners=frozenset([ListenerId(1)])))
        await client.update("config", "rules", b"a", 0)
        with pytest.raises(StoreUnavailable):
            await other.read("config", "rules")

    run_with_store(scenario)


async def call_backend(address: Address, key: bytes) -> HttpAnswer:
    connection = await ClientConnection.open(address)
    headers = [(b"host", b"b"), (b"idempotency-key", key), (b"content-length", b"0")]
    try:
        return await connection.call(HttpRequest("POST", "/charge", headers))
    finally:
        connection.close()


def test_a_backend_server_sheds_requests_beyond_its_slots_and_counts_repeated_keys():
    async def run():
        (address,) = free_addresses(1)
        backend = BackendServerStandIn(address, BehaviourRow(slots=2))
        await backend.start()
        answers = await asyncio.gather(
            *(call_backend(address, b"key") for _ in range(5))
        )
        await backend.close()
        return sorted(answer.status for answer in answers), backend.counts

    statuses, counts = asyncio.run(run())
    assert statuses == [200, 200, 503, 503, 503]
    assert (counts.started, counts.shed, counts.repeated_keys) == (2, 3, 1)
