"""Benchmarks; ``python -m papayapost_testing.bench`` runs them all."""

from papayapost_testing.bench.rows import BenchRow

__all__ = ["BenchRow"]
