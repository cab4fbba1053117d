"""Claims of idempotency keys in the object store."""
