"""Computes the tables of docs/CAPACITY.md from the benchmarks' results."""
