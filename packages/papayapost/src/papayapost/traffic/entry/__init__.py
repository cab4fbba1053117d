"""The entry node: from a caller's request to its answer or refusal."""
