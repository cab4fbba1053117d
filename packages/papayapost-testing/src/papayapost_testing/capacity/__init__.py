"""Works out docs/CAPACITY.md from the benchmarks' results."""
