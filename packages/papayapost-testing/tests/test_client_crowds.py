"""Tests a node's process against clients that leave the limits.

Each test runs a crowd of one form at one entry point of a real node. Nothing
is checked that depends on the machine's speed: the node must go on running,
hold a bounded amount of memory and descriptors, answer an ordinary request
afterwards and be ready again. The crowds are in `papayapost_testing.crowds`;
their sizes and these bounds were fixed before the node had any such limit.
"""

import asyncio

import pytest

from papayapost_testing.crowds import (
    ENTRY_POINTS,
    FORMS,
    PEER_FORMS,
    PEER_PORT,
    CrowdScene,
)

MAX_PEAK_BYTES = 128 << 20
MAX_DESCRIPTORS = 256
CROWD_S = 3.0
RECOVERY_S = 40


def meet(folder, form, entry_point):
    async def main():
        scene = CrowdScene(folder)
        try:
            async with asyncio.timeout(RECOVERY_S):
                await scene.start()
            figures = await scene.meet(form, entry_point, CROWD_S)
            async with asyncio.timeout(RECOVERY_S):
                await scene.wait_until_served(entry_point)
            assert scene.is_alive
            scene.update(figures)
            return figures
        finally:
            scene.close()

    return asyncio.run(main())


def check(figures, folder):
    print(
        f"peak {figures.peak_bytes >> 20} MB, descriptors {figures.descriptors}",
    )
    assert figures.peak_bytes < MAX_PEAK_BYTES
    assert figures.descriptors < MAX_DESCRIPTORS
    assert "Traceback" not in (folder / "node.log").read_text()


@pytest.mark.parametrize(
    "entry_point", ENTRY_POINTS, ids=lambda item: item.entry_point_id.value
)
@pytest.mark.parametrize("form", FORMS, ids=lambda form: form.name)
def test_clients_outside_the_limits_leave_a_node_bounded_and_ready(
    tmp_path, form, entry_point
):
    check(meet(tmp_path, form, entry_point), tmp_path)


@pytest.mark.parametrize("form", PEER_FORMS, ids=lambda form: form.name)
def test_processes_outside_the_limits_at_the_peer_port_leave_a_node_bounded(
    tmp_path, form
):
    check(meet(tmp_path, form, PEER_PORT), tmp_path)
