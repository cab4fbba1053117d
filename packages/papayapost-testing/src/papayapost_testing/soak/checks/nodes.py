"""Checks of the nodes as a whole: recovery, output and memory."""

from papayapost.kernel import Tick
from papayapost_testing.soak.bounds import MEMORY_BYTES
from papayapost_testing.soak.checks.base import Check
from papayapost_testing.soak.messages import (
    LineWritten,
    MemoryMeasured,
    RecoveryOver,
)

__all__ = ["MemoryIsBounded", "NodesRecover", "OutputHasNoTraceback"]


class NodesRecover(Check):
    """After all faults, every node serves calls in time (RECOVER)."""

    consumes = (RecoveryOver,)

    def run(self, tick: Tick) -> None:
        """Look for nodes that have served nothing since the faults ended."""
        if not tick.take(RecoveryOver):
            return
        for node in self.tables.nodes:
            if node.served_us < self.tables.faults_ended_us:
                text = f"{node.node_id} (start {node.start}, {node.state.value}) has "
                text += "served no call since the faults ended; it waited "
                span = node.started_us, tick.now_us
                wait_us = self.tables.wait_us(node.node_id, *span)
                text += f"{wait_us / 1e6:.3f} s for a core since its start"
                self.find(node.node_id, text, tick.now_us)


class OutputHasNoTraceback(Check):
    """A node writes no traceback."""

    consumes = (LineWritten,)

    def run(self, tick: Tick) -> None:
        """Look for the first line of tracebacks."""
        for written in tick.take(LineWritten):
            if "Traceback" in written.line or "effect_failed" in written.line:
                text = f"{written.node_id}: {written.line.strip()}"
                self.find(text, text, tick.now_us)


class MemoryIsBounded(Check):
    """A node's memory stays within its VM's."""

    consumes = (MemoryMeasured,)

    def run(self, tick: Tick) -> None:
        """Compare measured memory with the limit."""
        for measured in tick.take(MemoryMeasured):
            if measured.resident_bytes > MEMORY_BYTES:
                mebibytes = measured.resident_bytes >> 20
                text = f"{measured.node_id} uses {mebibytes} MiB"
                self.find(measured.node_id, text, tick.now_us)
