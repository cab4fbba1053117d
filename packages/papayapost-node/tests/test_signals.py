"""Tests that signals at the start and the end of a node do no harm."""

import asyncio
import os
import signal
import subprocess
import sys

import pytest

SCRIPT = """
import sys
import {module}
names = list(sys.modules)
assert names.index("papayapost_node.early_start") < names.index("asyncio")
import os, signal
os.kill(os.getpid(), signal.SIGHUP)
print("alive")
"""


@pytest.mark.parametrize("module", ["papayapost_node.main", "papayapost_platform"])
def test_a_node_that_is_starting_survives_a_hangup(module):
    script = SCRIPT.format(module=module)
    done = subprocess.run([sys.executable, "-c", script], capture_output=True)
    assert (done.returncode, done.stdout) == (0, b"alive\n"), done.stderr


def test_a_signal_after_the_end_of_a_node_does_not_change_its_exit_code():
    from papayapost_node import main

    class EndedNode:
        async def start(self):
            os.kill(os.getpid(), signal.SIGTERM)

        def reload(self, path):
            pass

        async def drain(self):
            pass

        def note_stopped_at_once(self):
            pass

        async def close(self):
            pass

    async def build_node(settings):
        return EndedNode()

    handlers = {number: signal.getsignal(number) for number in main._STOP_SIGNALS}
    original, main.build_node = main.build_node, build_node
    try:
        asyncio.run(main._serve(None, None))
        for number in main._STOP_SIGNALS:
            assert signal.getsignal(number) is signal.SIG_IGN
    finally:
        main.build_node = original
        for number, handler in handlers.items():
            signal.signal(number, handler)
