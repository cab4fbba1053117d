"""The entry node: handles a caller's request up to its answer or refusal."""
