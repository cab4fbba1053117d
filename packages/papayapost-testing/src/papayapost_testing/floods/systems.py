"""System that measures the floods of the benchmark."""

from papayapost.kernel import System, Tick
from papayapost_testing.floods.messages import FloodEnded, FloodStarted
from papayapost_testing.floods.tables import FloodRow, FloodTables, NodeReading

__all__ = ["MeasureFloods"]


class MeasureFloods(System):
    """Computes the results of each flood from readings before and after it."""

    consumes = (FloodStarted, FloodEnded)

    def __init__(self, tables: FloodTables):
        self._tables = tables

    def run(self, tick: Tick) -> None:
        """Record the start and the end of floods.

        The differences of the nodes' counters and the contradictions between
        answers and idempotency keys are computed at the end of a flood.
        """
        for started in tick.take(FloodStarted):
            flood = self._tables.floods.require(started.name)
            flood.before = started.readings
            flood.started_us = tick.now_us
        for ended in tick.take(FloodEnded):
            flood = self._tables.floods.require(ended.name)
            flood.ended_us = tick.now_us
            flood.tallies = ended.load.tallies
            self._sum_readings(flood, ended)
            self._check_keys(flood, ended)

    def _sum_readings(self, flood: FloodRow, ended: FloodEnded) -> None:
        increases = [
            ended.readings[node_id].since(before)
            for node_id, before in flood.before.items()
            if node_id in ended.readings
        ]
        flood.counter_increase = NodeReading(
            sum(increase.calls for increase in increases),
            sum(increase.attempts for increase in increases),
            sum(increase.cpu_s for increase in increases),
        )

    def _check_keys(self, flood: FloodRow, ended: FloodEnded) -> None:
        runs_by_key = ended.runs_by_key
        refused, whole = ended.load.not_run_keys, ended.load.whole_keys
        flood.wrong_refusals = sum(key in runs_by_key for key in refused)
        flood.missing_runs = sum(key not in runs_by_key for key in whole)
        self._tables.repeated_keys = sum(runs > 1 for runs in runs_by_key.values())
