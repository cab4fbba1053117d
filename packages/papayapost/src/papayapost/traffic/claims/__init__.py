"""At-most-once claims of idempotency keys in the object store."""
