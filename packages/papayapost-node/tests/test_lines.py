"""Log lines are written together, and none is lost."""

import asyncio
import os

from papayapost_node.lines import LineWriter


def test_lines_of_a_running_loop_are_written_together(monkeypatch):
    source, sink = os.pipe()
    writes = []
    write = os.write

    def counting_write(descriptor, data):
        writes.append(data)
        return write(descriptor, data)

    monkeypatch.setattr(os, "write", counting_write)

    async def run():
        writer = LineWriter(sink)
        for number in range(5):
            writer.write(f"line {number}")
        together = await asyncio.to_thread(os.read, source, 4096)
        writer.write("last")
        return writer, together, len(writes)

    writer, together, first = asyncio.run(run())
    assert together.decode().splitlines() == [f"line {number}" for number in range(5)]
    assert first == 1
    writer.flush()
    assert os.read(source, 4096) == b"last\n"


def test_without_a_loop_each_line_is_written_at_once():
    source, sink = os.pipe()
    LineWriter(sink).write("line")
    assert os.read(source, 4096) == b"line\n"


def test_many_lines_do_not_wait_for_the_timer():
    source, sink = os.pipe()

    async def run():
        writer = LineWriter(sink)
        for _ in range(200):
            writer.write("x" * 99)
        return len(os.read(source, 65536))

    assert asyncio.run(run()) >= 16_000
