"""Benchmarks; ``python -m papayapost_testing.bench`` runs all of them."""

from papayapost_testing.bench.rows import BenchRow

__all__ = ["BenchRow"]
